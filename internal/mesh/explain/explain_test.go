package explain

import (
	"strconv"
	"testing"

	. "github.com/onsi/gomega"
)

func TestRecorderEvictsOldestRequest(t *testing.T) {
	g := NewWithT(t)
	recorder := NewRecorder(3)
	for number := range 5 {
		recorder.Add(strconv.Itoa(number), Decision{Reason: "a"})
		recorder.Add(strconv.Itoa(number), Decision{Reason: "b"})
	}
	g.Expect(recorder.Get("0")).To(BeEmpty())
	g.Expect(recorder.Get("1")).To(BeEmpty())
	g.Expect(recorder.Get("4")).To(HaveLen(2))
}

func TestRecorderLimitsDecisionsPerRequest(t *testing.T) {
	g := NewWithT(t)
	recorder := NewRecorder(2)
	for range 1000 {
		recorder.Add("r", Decision{})
	}
	g.Expect(recorder.Get("r")).To(HaveLen(maxDecisions))
}
