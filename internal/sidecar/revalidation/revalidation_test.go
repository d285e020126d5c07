package revalidation

import (
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"
)

func TestRevalidateNowCoalescesSignals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r := New(Options{})
		r.RevalidateNow()
		r.RevalidateNow()
		g.Expect(r.wake).To(HaveLen(1))
	})
}
