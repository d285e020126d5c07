package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/landingmast/landingmast/internal/failure"
	. "github.com/onsi/gomega"
)

const whole = `
node: n1
zone: a
target: {service: s, address: "10.0.0.1:1"}
listen: {outbound: "10.0.0.1:2", inbound: "10.0.0.1:3", ready: "10.0.0.1:4", control: "10.0.0.1:5"}
store: {address: "10.0.0.9:1"}
`

func TestDefaults(t *testing.T) {
	g := NewWithT(t)
	read, err := Parse([]byte(whole))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(time.Duration(read.Bounds.Drain)).To(Equal(DefaultDrain))
	g.Expect(read.Retries.Ratio).To(Equal(DefaultRatio))
}

func TestBadSettingsNameTheKeyAndTheRemedy(t *testing.T) {
	g := NewWithT(t)
	for _, one := range []struct{ from, to, key string }{
		{"node: n1", "node: \"\"", "node"},
		{"10.0.0.1:3", "nowhere", "listen.inbound"},
		{"10.0.0.1:1\"", "\"", "target.address"},
		{"zone: a", "zone: a\nunknown: 1", "unknown"},
		{"zone: a", "zone: a\nbounds: {drain: 5ms}", "bounds.drain"},
		{"zone: a", "zone: a\nretries: {ratio: 3}", "retries.ratio"},
		{"zone: a", "zone: a\nbounds: {drain: \"\"}", "time span"},
	} {
		_, err := Parse([]byte(strings.Replace(whole, one.from, one.to, 1)))
		g.Expect(failure.KindOf(err)).To(Equal(failure.BadInput), one.key)
		g.Expect(err.Error()).To(And(ContainSubstring(one.key), ContainSubstring("remedy")))
	}
}
