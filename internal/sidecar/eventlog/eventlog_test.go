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

func lines(t *testing.T, output string) []map[string]any {
	t.Helper()
	var read []map[string]any
	for _, line := range strings.Split(strings.TrimSpace(output), "\n") {
		var one map[string]any
		if err := json.Unmarshal([]byte(line), &one); err != nil {
			t.Fatalf("line %q: %v", line, err)
		}
		read = append(read, one)
	}
	return read
}

func TestVolumeIsBoundedAndFailuresGoFirst(t *testing.T) {
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
		for _, line := range lines(t, output.String()) {
			counts[line["request"]]++
			if line["msg"] == "omitted" {
				omitted += line["lines"].(float64)
			}
		}
		g.Expect(counts["bad"]).To(Equal(50))
		g.Expect(counts["ok"]).To(Equal(perSecond[Success]))
		g.Expect(omitted).To(Equal(float64(1000 - perSecond[Success])))
	})
}

// stuck is an output that nobody reads.
type stuck struct{ until chan struct{} }

func (s stuck) Write(data []byte) (int, error) {
	<-s.until
	return len(data), nil
}

func TestOutputThatIsNotReadHoldsNobodyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		output := stuck{until: make(chan struct{})}
		log := New("n", output)
		ctx, end := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); log.Run(ctx) }()
		began := time.Now()
		for range 60 {
			for range 500 {
				log.Add(Request{Request: strings.Repeat("x", 100)}, Failure)
			}
			time.Sleep(time.Second)
		}
		g.Expect(time.Since(began)).To(Equal(60 * time.Second))
		log.mutex.Lock()
		g.Expect(len(log.entries)).To(BeNumerically("<=", maxHeld+perSecond[Failure]+perSecond[State]))
		log.mutex.Unlock()
		close(output.until)
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

// pieces keeps each write as it came.
type pieces struct{ writes [][]byte }

func (p *pieces) Write(data []byte) (int, error) {
	p.writes = append(p.writes, bytes.Clone(data))
	return len(data), nil
}

// Several processes may share one pipe: only writes of up to 4096 bytes go through
// it undivided. Found in the logs of nsm-mast trouble-2: 457 lines of a day were
// torn by lines of other processes.
func TestWritesAreWholeLinesThatAPipeKeepsTogether(t *testing.T) {
	for _, tc := range []struct {
		name   string
		length int // of the text in a line
	}{
		{"short lines", 20},
		{"long lines", 1500},
		{"lines longer than a pipe keeps together", 6000},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			output := &pieces{}
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
