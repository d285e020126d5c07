// Package retry bounds the retries of one user request over its whole call
// chain. It is an escrow: the entry gives the request a fixed number of
// credits; a hop lends part of what it holds with each call and gets the
// unspent part back with the answer. A lost answer leaves the loan spent.
// Credits are only ever moved or spent, never made, so that the sum spent
// anywhere in the chain is at most the number that the entry gave.
package retry

import "github.com/landingmast/landingmast/internal/mesh/core/outcome"

// Ledger holds the credits of one call at one hop. It is not safe for concurrent
// use; a driver whose calls make several deeper calls at a time locks it, and its
// loans with it.
type Ledger struct {
	held  int
	spent int
	lent  int
}

// NewLedger makes a ledger that holds the given number of credits.
func NewLedger(credits int) *Ledger {
	return &Ledger{held: max(credits, 0)}
}

// Loan is what one forwarded call took along.
type Loan struct {
	ledger *Ledger
	amount int
	closed bool
}

// Lend takes the larger half of the held credits as the loan of one call, so
// that the last credit reaches the hop above the failure, however deep, and
// parallel calls still find some left.
func (l *Ledger) Lend() *Loan {
	amount := (l.held + 1) / 2
	l.held -= amount
	l.lent += amount
	return &Loan{ledger: l, amount: amount}
}

// Amount gives the credits that travel with the call.
func (l *Loan) Amount() int { return l.amount }

// Settle takes back what the answer says was not spent. Only the first call
// counts, and never more than was lent comes back, whatever the answer claims.
func (l *Loan) Settle(unspent int) {
	if l.closed {
		return
	}
	l.closed = true
	l.ledger.lent -= l.amount
	l.ledger.held += min(max(unspent, 0), l.amount)
}

// Spend uses one credit for a retry by this hop; false when none is held.
func (l *Ledger) Spend() bool {
	if l.held == 0 {
		return false
	}
	l.held--
	l.spent++
	return true
}

// Close empties the ledger and gives what can be returned to the hop above.
// Loans that are still out are not returned: they count as spent.
func (l *Ledger) Close() int {
	unspent := l.held
	l.held = 0
	return unspent
}

// Held gives the credits now held.
func (l *Ledger) Held() int {
	return l.held
}

// Verdict is the decision whether a failed call is tried again by this hop.
type Verdict struct {
	Retry  bool
	Reason string
}

// Failure is what a hop knows about a failed attempt.
type Failure struct {
	Outcome    outcome.Outcome
	Reason     outcome.Reason
	Repeatable bool // class may be repeated
	TimeLeft   bool // deadline has not passed
}

// Decide says whether the failure may be tried again at another target, before
// credits are looked at. Only the hop directly above a failure comes here: a
// target that answers, be it with an error because something deeper failed, has
// answered. Overload is never tried again, it would only add to it.
func Decide(f Failure) Verdict {
	switch {
	case !f.TimeLeft:
		return Verdict{Reason: "deadline"}
	case f.Outcome != outcome.NotRun && !f.Repeatable:
		return Verdict{Reason: "may_have_run"}
	case f.Reason.IsOverload():
		return Verdict{Reason: "overload"}
	case !f.Reason.IsOfOneTarget():
		return Verdict{Reason: "not_of_one_target"}
	default:
		return Verdict{Retry: true, Reason: "hop_above_failure"}
	}
}
