package pace

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Figures that cannot be used must be ignored, so that a target that states them is served as one that
// states three figures.
func TestParse(t *testing.T) {
	for _, tc := range []struct {
		list   string
		factor float64
		valid  bool
	}{
		{"1,0,50,100", 1, true},
		{"1,0,50,250", 2.5, true},
		{" 1, 0, 50, 62.5 ", 0.625, true},
		{"1,0,50,140,7", 1.4, true},
		{"1,0,50,10000", maxFactor, true},
		{"1,0,50,0.001", minFactor, true},
		{"1,0,50,10001", Usual, false},
		{"1,0,50,0", Usual, false},
		{"1,0,50,-5", Usual, false},
		{"1,0,50,NaN", Usual, false},
		{"1,0,50,Inf", Usual, false},
		{"1,0,50,x", Usual, false},
		{"1,0,50,", Usual, false},
		{"1,0,50", Usual, false},
		{"", Usual, false},
	} {
		t.Run(tc.list, func(t *testing.T) {
			g := NewWithT(t)
			factor, valid := Parse(tc.list)
			g.Expect(valid).To(Equal(tc.valid))
			g.Expect(factor).To(Equal(tc.factor))
		})
	}
}

// A target that no longer states a figure must count as usual, not keep its last one.
func TestFactorExpires(t *testing.T) {
	g := NewWithT(t)
	var latest Latest
	g.Expect(latest.Known(time.Hour)).To(BeZero())
	g.Expect(latest.Now(0)).To(Equal(Usual))
	latest.Observe(time.Second, 2.5)
	g.Expect(latest.Now(time.Second + MaxAge - 1)).To(Equal(2.5))
	g.Expect(latest.Now(time.Second + MaxAge)).To(Equal(Usual))
	g.Expect(latest.Known(time.Second + MaxAge)).To(BeZero())
}

func FuzzParse(f *testing.F) {
	for _, list := range []string{"1,0,50,100", ",,,", "1,0,50,1e9", "1,0,50,0x10p-2", "1,0,50,-0"} {
		f.Add(list)
	}
	f.Fuzz(func(t *testing.T, list string) {
		factor, valid := Parse(list)
		if !(factor >= minFactor && factor <= maxFactor) || !valid && factor != Usual {
			t.Fatalf("%q: factor %v, valid %v", list, factor, valid)
		}
	})
}

// Spans must be unchanged at the usual pace, exactly, and where no part of them depends on the target.
func TestScale(t *testing.T) {
	g := NewWithT(t)
	for _, share := range []float64{0, 0.1, 1. / 3, 1} {
		g.Expect(Scale(Usual, share)).To(Equal(1.0))
	}
	g.Expect(Scale(2.5, 0)).To(Equal(1.0))
	g.Expect(Scale(2.5, 1)).To(Equal(2.5))
	g.Expect(Scale(0.5, 0.5)).To(Equal(0.75))
}
