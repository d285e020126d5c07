package eventlog

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

func parseLines(t *testing.T, output string) []map[string]any {
	t.Helper()
	var parsed []map[string]any
	for _, line := range strings.Split(strings.TrimSpace(output), "\n") {
		var fields map[string]any
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Fatalf("line %q: %v", line, err)
		}
		parsed = append(parsed, fields)
	}
	return parsed
}

func TestVolumeIsBoundedPerClass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var output bytes.Buffer
		log := New("n", &output)
		ctx, end := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); log.Run(ctx) }()
		for range 1000 {
			log.Add(Request{Request: "ok"}, Success)
		}
		for range 50 {
			log.Add(Request{Request: "bad", Status: 503}, Failure)
		}
		time.Sleep(2 * time.Second)
		log.Add(Node{Change: "stopping"}, State)
		end()
		<-done
		counts, omitted := map[any]int{}, 0.0
		for _, line := range parseLines(t, output.String()) {
			counts[line["request"]]++
			if line["msg"] == "omitted" {
				omitted += line["lines"].(float64)
			}
		}
		g.Expect(counts["bad"]).To(Equal(50))
		g.Expect(counts["ok"]).To(Equal(linesPerSecond[Success]))
		g.Expect(omitted).To(Equal(float64(1000 - linesPerSecond[Success])))
	})
}

// blockedWriter blocks writes until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(data []byte) (int, error) {
	<-w.release
	return len(data), nil
}

func TestAddNeverBlocksOnOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		output := blockedWriter{release: make(chan struct{})}
		log := New("n", output)
		ctx, end := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); log.Run(ctx) }()
		start := time.Now()
		for range 60 {
			for range 500 {
				log.Add(Request{Request: strings.Repeat("x", 100)}, Failure)
			}
			time.Sleep(time.Second)
		}
		g.Expect(time.Since(start)).To(Equal(60 * time.Second))
		log.mu.Lock()
		g.Expect(len(log.entries)).To(BeNumerically("<=", maxQueuedEntries+linesPerSecond[Failure]+linesPerSecond[State]))
		log.mu.Unlock()
		close(output.release)
		end()
		<-done
	})
}

func TestEveryFieldIsDocumented(t *testing.T) {
	g := NewWithT(t)
	page := Reference()
	for _, event := range All() {
		g.Expect(page).To(ContainSubstring("## " + event.Kind() + "\n"))
	}
	g.Expect(page).NotTo(ContainSubstring("|  |"))
}

// recordingWriter records each write separately.
type recordingWriter struct{ writes [][]byte }

func (w *recordingWriter) Write(data []byte) (int, error) {
	w.writes = append(w.writes, bytes.Clone(data))
	return len(data), nil
}

// Processes that share a pipe interleave writes of more than 4096 bytes.
func TestWritesAreWholeLinesWithinPipeBuf(t *testing.T) {
	for _, tc := range []struct {
		name   string
		length int // of the text in a line
	}{
		{"short lines", 20},
		{"long lines", 1500},
		{"lines longer than PIPE_BUF", 6000},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			output := &recordingWriter{}
			log := New("n", output)
			for range 50 {
				log.Add(Node{Change: strings.Repeat("x", tc.length)}, State)
			}
			ctx, end := context.WithCancel(context.Background())
			end()
			log.Run(ctx)
			lines := 0
			for _, w := range output.writes {
				g.Expect(string(w)).To(HaveSuffix("\n"))
				n := bytes.Count(w, []byte("\n"))
				lines += n
				if n > 1 {
					g.Expect(len(w)).To(BeNumerically("<=", 4096))
				}
			}
			g.Expect(lines).To(Equal(50))
		})
	}
}
