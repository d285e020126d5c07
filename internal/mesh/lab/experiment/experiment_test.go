package experiment

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/failure"
	"github.com/landingmast/landingmast/internal/mesh/lab/emulator"
	"github.com/landingmast/landingmast/internal/units"
	. "github.com/onsi/gomega"
)

const experimentsDirectory = "../../../../experiments"

func loadNamed(t *testing.T, name string) *Experiment {
	t.Helper()
	all, err := LoadAll(experimentsDirectory)
	if err != nil {
		t.Fatal(err)
	}
	for _, one := range all {
		if one.Name == name {
			return one
		}
	}
	t.Fatalf("no experiment %s", name)
	return nil
}

// withLength returns a copy of an experiment with another length.
func withLength(e *Experiment, length time.Duration) *Experiment {
	short := *e
	short.Length = units.Duration(length)
	return &short
}

func trace(t *testing.T, e *Experiment, seed uint64) string {
	t.Helper()
	variant, _ := emulator.VariantNamed("landingmast")
	var text strings.Builder
	result, err := Trace(e, variant, seed, 500*time.Millisecond, func(samples []emulator.Sample) {
		for _, sample := range samples {
			fmt.Fprintf(&text, "%+v\n", sample)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&text, "%+v %d %d %v\n", result.Classes, result.Events, result.Retries, result.Windows)
	return text.String()
}

func TestRunsAreDeterministicForASeed(t *testing.T) {
	g := NewWithT(t)
	e := withLength(loadNamed(t, "photo-downloads"), 18*time.Second)
	first := trace(t, e, 7)
	g.Expect(trace(t, e, 7)).To(Equal(first))
	g.Expect(trace(t, e, 8)).NotTo(Equal(first))
}

// TestRecoveryAndImportanceHoldInVirtualTime guards the recovery and goodput targets
// on one seed of the experiment that combines all triggers.
func TestRecoveryAndImportanceHoldInVirtualTime(t *testing.T) {
	g := NewWithT(t)
	e := loadNamed(t, "all-three")
	run := func(name string) Measure {
		variant, known := emulator.VariantNamed(name)
		g.Expect(known).To(BeTrue())
		measured, err := runOne(e, variant, 1)
		g.Expect(err).NotTo(HaveOccurred())
		return measured
	}
	full, baseline := run("landingmast"), run("baseline")
	g.Expect(full.Recovered).To(BeTrue())
	g.Expect(full.Recovery).To(BeNumerically("<=", 2*time.Second))
	g.Expect(full.CriticalShare).To(BeNumerically(">=", 0.999))
	g.Expect(full.Goodput).To(BeNumerically(">=", 0.9))
	g.Expect(full.Wasted).To(BeNumerically("<", 0.02))
	g.Expect(full.OrderViolations).To(BeZero())
	g.Expect(baseline.Recovered).To(BeFalse())
	g.Expect(baseline.CriticalShare).To(BeNumerically("<", 0.9))
}

func TestParseRejectsInvalidExperiments(t *testing.T) {
	g := NewWithT(t)
	good := "name: x\ndeployment: core-archive\nseeds: [1]\nlength: 10s\nload: 0.5\n"
	_, err := Parse([]byte(good))
	g.Expect(err).NotTo(HaveOccurred())
	for _, text := range []string{
		good + "colour: red\n", strings.Replace(good, "core-archive", "other", 1), strings.Replace(good, "10s", "10", 1),
		good + "events: [{kind: fire, at: 1s, until: 2s}]\n", good + "events: [{kind: surge, at: 5s, until: 2s}]\n",
		good + "events: [{kind: slow, service: none, at: 1s, until: 2s}]\n",
	} {
		_, err := Parse([]byte(text))
		g.Expect(failure.Is(err, failure.BadInput)).To(BeTrue(), text)
	}
}

func TestAttainableRatesFollowImportance(t *testing.T) {
	g := NewWithT(t)
	now, err := demandAt(loadNamed(t, "surge"), 10*time.Second)
	g.Expect(err).NotTo(HaveOccurred())
	byClass, total := now.attainable()
	g.Expect(byClass["fraud-flag"]).To(BeNumerically("~", now.rate*0.1, 1))
	g.Expect(byClass["claim-list"]).To(BeNumerically("<", now.rate*0.5))
	g.Expect(total).To(BeNumerically("<", now.rate))
}
