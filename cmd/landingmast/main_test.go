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

// shell runs the command line in a folder against a platform's stand-in.
type shell struct {
	g        *WithT
	folder   string
	platform string
}

func newShell(t *testing.T) *shell {
	server := httptest.NewServer(standin.NewPlatform().Handler())
	t.Cleanup(server.Close)
	return &shell{g: NewWithT(t), folder: t.TempDir(), platform: server.Listener.Addr().String()}
}

func (o *shell) run(arguments ...string) (code int, output, complaint string) {
	var out, complaints bytes.Buffer
	code = run(arguments, &out, &complaints)
	return code, out.String(), complaints.String()
}

func (o *shell) path(name string) string { return filepath.Join(o.folder, name) }

// bundle writes the example bundle with another version and gives its path.
func (o *shell) bundle(version, from, to string) string {
	data, err := os.ReadFile("../../examples/core-archive/bundle.yaml")
	o.g.Expect(err).NotTo(HaveOccurred())
	text := strings.Replace(string(data), "version: 1\n", "version: "+version+"\n", 1)
	text = strings.Replace(text, from, to, 1)
	path := o.path("bundle-" + version + ".yaml")
	o.g.Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

func TestABundleIsCheckedSignedRolledAndFollowed(t *testing.T) {
	o := newShell(t)
	code, _, complaint := o.run("keys", "signer", "--to", o.path("op.pem"))
	o.g.Expect(code).To(BeZero(), complaint)
	code, _, _ = o.run("keys", "signer", "--to", o.path("op.pem"))
	o.g.Expect(code).To(Equal(2)) // a key is never written over

	first := o.bundle("1", "", "")
	code, output, _ := o.run("bundle", "check", first)
	o.g.Expect(code).To(BeZero())
	o.g.Expect(output).To(ContainSubstring("core-archive"))
	sign := func(path string) string {
		code, _, complaint := o.run("bundle", "sign", path, "--signer", "operator-1", "--key", o.path("op.pem"), "--to", path+".signed")
		o.g.Expect(code).To(BeZero(), complaint)
		return path + ".signed"
	}
	code, _, complaint = o.run("bundle", "--platform", o.platform, "roll", sign(first))
	o.g.Expect(code).To(BeZero(), complaint)

	second := o.bundle("2", "retries: 3", "retries: 1")
	code, output, _ = o.run("bundle", "--platform", o.platform, "diff", second)
	o.g.Expect(code).To(BeZero())
	o.g.Expect(output).To(ContainSubstring("classes"))
	code, _, _ = o.run("bundle", "--platform", o.platform, "roll", sign(second))
	o.g.Expect(code).To(BeZero())
	code, _, complaint = o.run("bundle", "--platform", o.platform, "roll", second+".signed")
	o.g.Expect(code).To(Equal(3))
	o.g.Expect(complaint).To(ContainSubstring("operator-1"))

	code, output, _ = o.run("--output", "json", "bundle", "--platform", o.platform, "history", "core-archive")
	o.g.Expect(code).To(BeZero())
	var history []map[string]any
	o.g.Expect(json.Unmarshal([]byte(output), &history)).To(Succeed())
	o.g.Expect(history).To(HaveLen(2))
}

func TestExitCodesTellWhatWentWrong(t *testing.T) {
	o := newShell(t)
	for want, arguments := range map[int][]string{
		2: {"bundle", "check", o.path("none.yaml")},
		4: {"--admin", "127.0.0.1:1", "nodes"},
		7: {"bundle", "--platform", o.platform, "history", "nowhere"},
	} {
		code, _, complaint := o.run(arguments...)
		o.g.Expect(code).To(Equal(want), complaint)
		o.g.Expect(complaint).To(ContainSubstring("remedy"))
	}
	code, _, _ := o.run("no-such-command")
	o.g.Expect(code).To(Equal(2))
	bad := o.bundle("1", "importance: bulk", "importance: huge")
	code, _, complaint := o.run("bundle", "check", bad)
	o.g.Expect(code).To(Equal(2))
	o.g.Expect(complaint).To(ContainSubstring("huge"))
}

func TestKeysOfNodesAreIssued(t *testing.T) {
	o := newShell(t)
	code, _, complaint := o.run("keys", "authority", "m", "--to", o.path("authority"))
	o.g.Expect(code).To(BeZero(), complaint)
	code, _, complaint = o.run("keys", "node", "n-1", "--authority", o.path("authority"), "--to", o.path("n-1"))
	o.g.Expect(code).To(BeZero(), complaint)
	for _, file := range []string{"authority.crt", "authority.key", "n-1.crt", "n-1.key"} {
		_, err := os.Stat(o.path(file))
		o.g.Expect(err).NotTo(HaveOccurred())
	}
}
