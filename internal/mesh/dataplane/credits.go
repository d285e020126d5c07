package dataplane

import (
	"sync"

	"github.com/landingmast/landingmast/internal/mesh/core/retry"
)

// credits drives the ledger of retry credits of one call, which may make several
// deeper calls at a time. It is safe for concurrent use.
type credits struct {
	mu     sync.Mutex
	ledger *retry.Ledger
}

func newCredits(n int) *credits { return &credits{ledger: retry.NewLedger(n)} }

// lend takes the loan of one deeper call; see retry.Ledger.Lend.
func (c *credits) lend() *retry.Loan {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Lend()
}

// settle takes back what of a loan was not spent; see retry.Loan.Settle.
func (c *credits) settle(loan *retry.Loan, unspent int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	loan.Settle(unspent)
}

// spend uses one credit; false when none is held.
func (c *credits) spend() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Spend()
}

// close empties the ledger and gives what goes back to the hop above.
func (c *credits) close() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Close()
}

// held gives the credits now held.
func (c *credits) held() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Held()
}
