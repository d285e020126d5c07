package dataplane

import (
	"sync"

	"github.com/landingmast/landingmast/internal/mesh/core/retry"
)

// credits guards the retry.Ledger of a call, which may make downstream calls concurrently.
type credits struct {
	mu     sync.Mutex
	ledger *retry.Ledger
}

func newCredits(n int) *credits { return &credits{ledger: retry.NewLedger(n)} }

// lend reserves credits for a downstream call; see retry.Ledger.Lend.
func (c *credits) lend() *retry.Loan {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Lend()
}

// settle returns the unspent credits of a loan; see retry.Loan.Settle.
func (c *credits) settle(loan *retry.Loan, unspent int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	loan.Settle(unspent)
}

// spend consumes one credit and reports whether one was available.
func (c *credits) spend() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Spend()
}

// close empties the ledger and returns the credits owed to the upstream hop.
func (c *credits) close() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Close()
}

func (c *credits) held() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Held()
}
