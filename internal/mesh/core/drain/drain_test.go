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
		want  WaitCondition
	}{
		{"shutdown begins", State{SinceStop: 0, SinceKeepAlive: time.Hour}, WaitClients},
		{"within the grace period", State{SinceStop: Grace - 1, SinceKeepAlive: time.Hour}, WaitClients},
		{"after the grace period", State{SinceStop: Grace, SinceKeepAlive: time.Hour}, WaitNone},
		{"call in flight after the grace period", State{InFlight: 1, SinceStop: 3 * Grace, SinceKeepAlive: time.Hour}, WaitCalls},
		{"last response closed its connection", State{SinceStop: 3 * Grace, SinceKeepAlive: 4 * Grace}, WaitNone},
		{"last response left its connection open", State{SinceStop: 3 * Grace, SinceKeepAlive: 0}, WaitClients},
		{"grace period after the last response passed", State{SinceStop: 4 * Grace, SinceKeepAlive: Grace}, WaitNone},
	} {
		t.Run(tc.name, func(t *testing.T) {
			NewWithT(t).Expect(NextWait(tc.state)).To(Equal(tc.want))
		})
	}
}
