package revalidation

import (
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"
)

func TestSignalsAreLeftOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := New(Options{})
		r.RenewNow()
		r.RenewNow()
		g.Expect(r.now).To(HaveLen(1))
	})
}
