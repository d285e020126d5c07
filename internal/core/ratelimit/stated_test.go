package ratelimit

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestStatedRateInForce(t *testing.T) {
	type response struct {
		arrivesAt, sentAt time.Duration
		rate              float64
	}
	for _, tc := range []struct {
		name      string
		responses []response
		rate      float64
	}{
		{"none stated", []response{{2, 1, Unlimited}}, Unlimited},
		{"stated", []response{{2, 1, 5}}, 5},
		{"lowered by a response to an earlier request", []response{{4, 3, 5}, {5, 1, 2}}, 2},
		{"not raised by a response to an earlier request", []response{{4, 3, 5}, {5, 3, 8}}, 5},
		{"raised by a response to a later request", []response{{4, 3, 5}, {6, 5, 8}}, 8},
		{"not lifted by a response that was overtaken", []response{{4, 3, 5}, {5, 1, Unlimited}}, 5},
		{"not lifted while later responses state it", []response{{4, 3, 5}, {8, 3, 5}, {9, 5, Unlimited}}, 5},
		{"lifted", []response{{4, 3, 5}, {6, 5, Unlimited}}, Unlimited},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			stated := NewStated()
			for _, r := range tc.responses {
				before := stated.Rate()
				g.Expect(stated.Observe(r.arrivesAt, r.sentAt, r.rate)).To(Equal(stated.Rate() != before))
			}
			g.Expect(stated.Rate()).To(Equal(tc.rate))
		})
	}
}
