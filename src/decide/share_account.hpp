#ifndef CAPERJUNCTION_DECIDE_SHARE_ACCOUNT_HPP
#define CAPERJUNCTION_DECIDE_SHARE_ACCOUNT_HPP

namespace caperjunction::decide {

/// Where the credit of one tier came from and went to since the start, in
/// tokens.
struct share_account
{
    /// The guaranteed share of all tokens served.
    double accrued = 0.0;
    /// Charged at dispatch, by expected lengths.
    double charged = 0.0;
    /// Later changes of the charges. Negative: callers got less than was
    /// charged.
    double adjusted = 0.0;
    /// Credit that was lost because the tier did not use it within the window.
    double expired_credit = 0.0;
    /// Debt that was remitted because it was more than a window's share.
    double remitted_debt = 0.0;
};

} // namespace caperjunction::decide

#endif
