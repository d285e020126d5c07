package sidecar

import (
	"testing"

	. "github.com/onsi/gomega"
)

// A target that states a fourth figure must be found after a restart of its node like any other.
func TestStatedSlots(t *testing.T) {
	for _, tc := range []struct {
		list string
		want int
	}{
		{"1,0,50", 50},
		{"1, 0, 50", 50},
		{"1,0,50,140", 50},
		{"1,0", 0},
		{"1,0,x,100", 0},
		{"", 0},
	} {
		NewWithT(t).Expect(statedSlots(tc.list)).To(Equal(tc.want), tc.list)
	}
}
