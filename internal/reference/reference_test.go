package reference

import (
	"os"
	"testing"

	"github.com/landingmast/landingmast/internal/sidecar/eventlog"
	. "github.com/onsi/gomega"
)

func TestConfigurationPageIsUpToDate(t *testing.T) {
	g := NewWithT(t)
	page, err := Page("../..")
	g.Expect(err).NotTo(HaveOccurred())
	committed, err := os.ReadFile("../../docs/CONFIGURATION.md")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(committed)).To(Equal(page), "remedy: make reference")
	g.Expect(page).To(ContainSubstring("| `classes[].retries` |"))
	g.Expect(page).To(ContainSubstring("| `platform.timeout` |"))
	g.Expect(page).To(ContainSubstring("| `retries.allowance` |"))
}

func TestLogPageIsUpToDate(t *testing.T) {
	g := NewWithT(t)
	committed, err := os.ReadFile("../../docs/LOGS.md")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(committed)).To(Equal(eventlog.Reference()), "remedy: make reference")
}
