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
		{"begins", State{Began: 0, Kept: time.Hour}, Senders},
		{"within the grace", State{Began: Grace - 1, Kept: time.Hour}, Senders},
		{"after the grace", State{Began: Grace, Kept: time.Hour}, Nothing},
		{"a call outlasts the grace", State{InFlight: 1, Began: 3 * Grace, Kept: time.Hour}, Calls},
		{"its answer asked to close", State{Began: 3 * Grace, Kept: 4 * Grace}, Nothing},
		{"its answer did not", State{Began: 3 * Grace, Kept: 0}, Senders},
		{"its sender has had the time", State{Began: 4 * Grace, Kept: Grace}, Nothing},
	} {
		t.Run(tc.name, func(t *testing.T) {
			NewWithT(t).Expect(For(tc.state)).To(Equal(tc.want))
		})
	}
}
