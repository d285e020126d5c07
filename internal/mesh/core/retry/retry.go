// Package retry enforces a retry budget for a user request over its whole call
// chain. The entry assigns the request a fixed number of credits. Each hop lends
// part of its credits with every call and gets the unspent part back with the
// response; the loan of a lost response counts as spent. Hops never create
// credits, so the retries in the whole chain cannot exceed the initial number.
package retry

import "github.com/landingmast/landingmast/internal/mesh/core/outcome"

// Ledger holds the credits of one call at one hop. It is not safe for concurrent
// use; drivers with parallel nested calls use one lock for a ledger and its loans.
type Ledger struct {
	held  int
	spent int
	lent  int
}

// NewLedger returns a ledger with the given number of credits.
func NewLedger(credits int) *Ledger {
	return &Ledger{held: max(credits, 0)}
}

// Loan is the part of a ledger's credits lent to one forwarded call.
type Loan struct {
	ledger  *Ledger
	amount  int
	settled bool
}

// Lend lends half of the held credits, rounded up, to one call. Rounding up lets a
// single credit reach any depth of the chain; halving leaves credits for parallel
// calls.
func (l *Ledger) Lend() *Loan {
	amount := (l.held + 1) / 2
	l.held -= amount
	l.lent += amount
	return &Loan{ledger: l, amount: amount}
}

// Amount returns the number of credits lent.
func (l *Loan) Amount() int { return l.amount }

// Settle returns the unspent credits reported by the response to the ledger, up to
// the amount lent. Further calls have no effect.
func (l *Loan) Settle(unspent int) {
	if l.settled {
		return
	}
	l.settled = true
	l.ledger.lent -= l.amount
	l.ledger.held += min(max(unspent, 0), l.amount)
}

// Spend uses one credit for a retry by this hop. It returns false if none is held.
func (l *Ledger) Spend() bool {
	if l.held == 0 {
		return false
	}
	l.held--
	l.spent++
	return true
}

// Close empties the ledger and returns the credits to report to the caller as
// unspent. Loans that are not settled count as spent.
func (l *Ledger) Close() int {
	unspent := l.held
	l.held = 0
	return unspent
}

// Held returns the number of credits held.
func (l *Ledger) Held() int {
	return l.held
}

// Decision is the decision whether this hop retries a failed call.
type Decision struct {
	Retry  bool
	Reason string
}

// Failure describes a failed attempt.
type Failure struct {
	Outcome    outcome.Outcome
	Reason     outcome.Reason
	Repeatable bool // the request class allows repeated execution
	TimeLeft   bool // the deadline has not passed
}

// Decide returns whether a failed call may be retried at another target, without
// regard to credits. Only the hop directly above a failure retries: for the hops
// further up, the error response is a complete response. Overload is not retried,
// since retries would add to it.
func Decide(f Failure) Decision {
	switch {
	case !f.TimeLeft:
		return Decision{Reason: "deadline"}
	case f.Outcome != outcome.NotRun && !f.Repeatable:
		return Decision{Reason: "may_have_run"}
	case f.Reason.IsOverload():
		return Decision{Reason: "overload"}
	case !f.Reason.IsTargetSpecific():
		return Decision{Reason: "not_of_one_target"}
	default:
		return Decision{Retry: true, Reason: "hop_above_failure"}
	}
}
