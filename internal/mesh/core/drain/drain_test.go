package drain

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestFor(t *testing.T) {
	for _, tc := range []struct {
		name  string
		state State
		want  Awaits
	}{
		{"shutdown begins", State{Began: 0, Kept: time.Hour}, Senders},
		{"within the grace period", State{Began: Grace - 1, Kept: time.Hour}, Senders},
		{"after the grace period", State{Began: Grace, Kept: time.Hour}, Nothing},
		{"call in flight after the grace period", State{InFlight: 1, Began: 3 * Grace, Kept: time.Hour}, Calls},
		{"last response closed its connection", State{Began: 3 * Grace, Kept: 4 * Grace}, Nothing},
		{"last response left its connection open", State{Began: 3 * Grace, Kept: 0}, Senders},
		{"grace period after the last response passed", State{Began: 4 * Grace, Kept: Grace}, Nothing},
	} {
		t.Run(tc.name, func(t *testing.T) {
			NewWithT(t).Expect(For(tc.state)).To(Equal(tc.want))
		})
	}
}
