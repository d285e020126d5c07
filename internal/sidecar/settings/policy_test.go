package settings

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestMechanismsEnabledByDefault(t *testing.T) {
	g := NewWithT(t)
	for _, m := range mechanisms {
		g.Expect(Policy{}.Enabled(m)).To(BeTrue())
		g.Expect(Policy{Off: []Mechanism{m}}.Enabled(m)).To(BeFalse())
	}
}

func TestPolicyValidation(t *testing.T) {
	for _, tc := range []struct {
		name string
		off  []Mechanism
		want string // substring of the error; empty if none is expected
	}{
		{"nothing off", nil, ""},
		{"all off", mechanisms, ""},
		{"unknown mechanism", []Mechanism{Window, "unknown"}, `unknown mechanism "unknown"`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			err := Policy{Off: tc.off}.validate()
			if tc.want == "" {
				g.Expect(err).NotTo(HaveOccurred())
				return
			}
			g.Expect(err).To(MatchError(And(ContainSubstring(tc.want), ContainSubstring("policy.off"), ContainSubstring("remedy"))))
		})
	}
}
