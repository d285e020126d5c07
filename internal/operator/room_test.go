package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/alecthomas/kingpin/v2"
	"github.com/landingmast/landingmast/internal/failure"
	"github.com/landingmast/landingmast/internal/logquery"
	. "github.com/onsi/gomega"
)

const roomLog = `{"time":"2026-12-03T10:00:00Z","node":"a","msg":"room","service":"deep","slots":10,"running":10,"waiting":5,"offered":1.25,"routes":[{"name":"read","running":10,"waiting":5}],"tenants":[{"name":"large","running":6,"waiting":5},{"running":1,"waiting":0},{"running":3,"waiting":0,"rest":2}]}
not a line
{"time":"2026-12-03T10:00:01.5Z","node":"a","msg":"node","change":"stopping"}
`

// runCommand runs a command line of the tool and returns its output.
func runCommand(t *testing.T, arguments ...string) (string, error) {
	t.Helper()
	var output bytes.Buffer
	application := kingpin.New("landingmast", "")
	commands := Register(application, &output, Stores{})
	selected, err := application.Parse(arguments)
	if err != nil {
		t.Fatal(err)
	}
	err = commands[selected](context.Background())
	return output.String(), err
}

func TestLogsRoom(t *testing.T) {
	g := NewWithT(t)
	folder := t.TempDir()
	g.Expect(os.WriteFile(filepath.Join(folder, "node.log"), []byte(roomLog), 0o600)).To(Succeed())
	output, err := runCommand(t, "logs", "room", "--logs", folder)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(output).To(Equal(`SERVICE  HELD BY          RUNNING  WAITING  DEMAND  OFFERED  SLOTS  TARGETS  AGE
deep     all              10       5        1.50    1.25     10     1        1.5s
deep     route read       10       5        1.50
deep     tenant large     6        5        1.10
deep     tenant (none)    1        0        0.10
deep     tenant (others)  3        0        0.30
2 lines read, 1 skipped
`))
	output, err = runCommand(t, "logs", "room", "--logs", folder, "--output", "json")
	g.Expect(err).NotTo(HaveOccurred())
	var rooms []logquery.ServiceRoom
	g.Expect(json.Unmarshal([]byte(output), &rooms)).To(Succeed(), "nothing but JSON")
	g.Expect(rooms).To(HaveLen(1))
	g.Expect(rooms[0].Tenants).To(HaveLen(3))
}

// Logs that cannot be read must end with the exit code of the other commands for bad input.
func TestLogsRoomWithoutLogs(t *testing.T) {
	g := NewWithT(t)
	_, err := runCommand(t, "logs", "room", "--logs", filepath.Join(t.TempDir(), "missing"))
	g.Expect(failure.KindOf(err)).To(Equal(failure.BadInput))
}
