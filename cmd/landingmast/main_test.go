package main

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/landingmast/landingmast/internal/mesh/lab/standin"
	. "github.com/onsi/gomega"
)

// testCLI runs commands in a temporary directory against a fake platform.
type testCLI struct {
	g         *WithT
	directory string
	platform  string
}

func newTestCLI(t *testing.T) *testCLI {
	server := httptest.NewServer(standin.NewPlatform().Handler())
	t.Cleanup(server.Close)
	return &testCLI{g: NewWithT(t), directory: t.TempDir(), platform: server.Listener.Addr().String()}
}

func (c *testCLI) run(arguments ...string) (code int, output, errOutput string) {
	var stdout, stderr bytes.Buffer
	code = run(arguments, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func (c *testCLI) path(name string) string { return filepath.Join(c.directory, name) }

// bundle writes the example bundle with the given version and one replacement
// and returns its path.
func (c *testCLI) bundle(version, from, to string) string {
	data, err := os.ReadFile("../../examples/core-archive/bundle.yaml")
	c.g.Expect(err).NotTo(HaveOccurred())
	text := strings.Replace(string(data), "version: 1\n", "version: "+version+"\n", 1)
	text = strings.Replace(text, from, to, 1)
	path := c.path("bundle-" + version + ".yaml")
	c.g.Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

func TestBundleIsCheckedSignedAndRolledOut(t *testing.T) {
	c := newTestCLI(t)
	code, _, stderr := c.run("keys", "signer", "--to", c.path("op.pem"))
	c.g.Expect(code).To(BeZero(), stderr)
	code, _, _ = c.run("keys", "signer", "--to", c.path("op.pem"))
	c.g.Expect(code).To(Equal(2)) // an existing key is not overwritten

	first := c.bundle("1", "", "")
	code, output, _ := c.run("bundle", "check", first)
	c.g.Expect(code).To(BeZero())
	c.g.Expect(output).To(ContainSubstring("core-archive"))
	sign := func(path string) string {
		code, _, stderr := c.run("bundle", "sign", path, "--signer", "operator-1", "--key", c.path("op.pem"), "--to", path+".signed")
		c.g.Expect(code).To(BeZero(), stderr)
		return path + ".signed"
	}
	code, _, stderr = c.run("bundle", "--platform", c.platform, "roll", sign(first))
	c.g.Expect(code).To(BeZero(), stderr)

	second := c.bundle("2", "retries: 3", "retries: 1")
	code, output, _ = c.run("bundle", "--platform", c.platform, "diff", second)
	c.g.Expect(code).To(BeZero())
	c.g.Expect(output).To(ContainSubstring("classes"))
	code, _, _ = c.run("bundle", "--platform", c.platform, "roll", sign(second))
	c.g.Expect(code).To(BeZero())
	code, _, stderr = c.run("bundle", "--platform", c.platform, "roll", second+".signed")
	c.g.Expect(code).To(Equal(3))
	c.g.Expect(stderr).To(ContainSubstring("operator-1"))

	code, output, _ = c.run("--output", "json", "bundle", "--platform", c.platform, "history", "core-archive")
	c.g.Expect(code).To(BeZero())
	var history []map[string]any
	c.g.Expect(json.Unmarshal([]byte(output), &history)).To(Succeed())
	c.g.Expect(history).To(HaveLen(2))
}

func TestExitCodes(t *testing.T) {
	c := newTestCLI(t)
	for want, arguments := range map[int][]string{
		2: {"bundle", "check", c.path("none.yaml")},
		4: {"--admin", "127.0.0.1:1", "nodes"},
		7: {"bundle", "--platform", c.platform, "history", "nowhere"},
	} {
		code, _, stderr := c.run(arguments...)
		c.g.Expect(code).To(Equal(want), stderr)
		c.g.Expect(stderr).To(ContainSubstring("remedy"))
	}
	code, _, _ := c.run("no-such-command")
	c.g.Expect(code).To(Equal(2))
	bad := c.bundle("1", "importance: bulk", "importance: huge")
	code, _, stderr := c.run("bundle", "check", bad)
	c.g.Expect(code).To(Equal(2))
	c.g.Expect(stderr).To(ContainSubstring("huge"))
}

func TestNodeKeysAreIssued(t *testing.T) {
	c := newTestCLI(t)
	code, _, stderr := c.run("keys", "authority", "m", "--to", c.path("authority"))
	c.g.Expect(code).To(BeZero(), stderr)
	code, _, stderr = c.run("keys", "node", "n-1", "--authority", c.path("authority"), "--to", c.path("n-1"))
	c.g.Expect(code).To(BeZero(), stderr)
	for _, file := range []string{"authority.crt", "authority.key", "n-1.crt", "n-1.key"} {
		_, err := os.Stat(c.path(file))
		c.g.Expect(err).NotTo(HaveOccurred())
	}
}
