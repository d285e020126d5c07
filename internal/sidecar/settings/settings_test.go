package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/failure"
	. "github.com/onsi/gomega"
)

const validSettings = `
node: n1
zone: a
target: {service: s, address: "10.0.0.1:1"}
listen: {outbound: "10.0.0.1:2", inbound: "10.0.0.1:3", ready: "10.0.0.1:4", control: "10.0.0.1:5"}
store: {address: "10.0.0.9:1"}
`

func TestDefaults(t *testing.T) {
	g := NewWithT(t)
	settings, err := Parse([]byte(validSettings))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(time.Duration(settings.Bounds.Drain)).To(Equal(DefaultDrain))
	g.Expect(settings.Retries.Ratio).To(Equal(DefaultRetryRatio))
}

func TestValidationErrorNamesKeyAndRemedy(t *testing.T) {
	g := NewWithT(t)
	for _, tc := range []struct{ from, to, key string }{
		{"node: n1", "node: \"\"", "node"},
		{"10.0.0.1:3", "nowhere", "listen.inbound"},
		{"10.0.0.1:1\"", "\"", "target.address"},
		{"zone: a", "zone: a\nunknown: 1", "unknown"},
		{"zone: a", "zone: a\nbounds: {drain: 5ms}", "bounds.drain"},
		{"zone: a", "zone: a\nretries: {ratio: 3}", "retries.ratio"},
		{"zone: a", "zone: a\nbounds: {drain: \"\"}", "time span"},
		{"zone: a", "zone: a\nadmission: {max_wait_share: 0.3}", "admission.max_wait_share"},
		{"zone: a", "zone: a\nadmission: {max_wait_share: -0.1}", "admission.max_wait_share"},
		{"zone: a", "zone: a\nadmission: {max_wait_share: .nan}", "admission.max_wait_share"},
	} {
		_, err := Parse([]byte(strings.Replace(validSettings, tc.from, tc.to, 1)))
		g.Expect(failure.KindOf(err)).To(Equal(failure.BadInput), tc.key)
		g.Expect(err.Error()).To(And(ContainSubstring(tc.key), ContainSubstring("remedy")))
	}
}

// A share of 0 must disable waiting, and must not be taken for one that is not set.
func TestMaxWaitShare(t *testing.T) {
	for _, tc := range []struct {
		name, text string
		want       float64
	}{
		{"not set", "", DefaultMaxWaitShare},
		{"set", "admission: {max_wait_share: 0.25}", 0.25},
		{"disabled", "admission: {max_wait_share: 0}", 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			settings, err := Parse([]byte(validSettings + tc.text))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(settings.Admission.WaitShare()).To(Equal(tc.want))
		})
	}
}
