package reply

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/landingmast/landingmast/internal/wire"
	. "github.com/onsi/gomega"
)

func TestReadBuffered(t *testing.T) {
	broken := errors.New("broken")
	long := strings.Repeat("x", MaxBuffered+10)
	for _, tc := range []struct {
		name   string
		source io.Reader
		length int64
		data   string
		rest   string
		err    error
	}{
		{"known length", strings.NewReader("whole"), 5, "whole", "", nil},
		{"unknown length", strings.NewReader("whole"), -1, "whole", "", nil},
		{"empty", strings.NewReader(""), 0, "", "", nil},
		{"length without a body", strings.NewReader(""), 5, "", "", nil},
		{"read error", io.MultiReader(strings.NewReader("wh"), iotest.ErrReader(broken)), 5, "wh", "", broken},
		{"read error on the first byte", iotest.ErrReader(broken), 5, "", "", broken},
		{"truncated", strings.NewReader("wh"), 5, "wh", "", io.ErrUnexpectedEOF},
		{"read error after the last byte", io.MultiReader(strings.NewReader("whole"), iotest.ErrReader(broken)), 5, "whole", "", broken},
		{"long", strings.NewReader(long), int64(len(long)), "", long, nil},
		{"long, unknown length", strings.NewReader(long), -1, "", long, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			data, rest, err := ReadBuffered(tc.source, tc.length)
			if tc.err != nil {
				g.Expect(err).To(MatchError(tc.err))
				g.Expect(string(data)).To(Equal(tc.data))
				return
			}
			g.Expect(err).NotTo(HaveOccurred())
			if tc.rest == "" {
				g.Expect(rest).To(BeNil())
				g.Expect(string(data)).To(Equal(tc.data))
				return
			}
			all, err := io.ReadAll(rest)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(all)).To(Equal(tc.rest))
		})
	}
}

func TestServiceTimeExcludesWaits(t *testing.T) {
	for _, tc := range []struct {
		name  string
		reply Reply
		want  time.Duration
	}{
		{"no wait", Reply{}, 400 * time.Millisecond},
		{"own wait", Reply{Waited: 100 * time.Millisecond}, 300 * time.Millisecond},
		{"waits of calls", Reply{Needs: []wire.Need{{Calls: 4, Wait: 50 * time.Millisecond}}}, 200 * time.Millisecond},
		{"waits of parallel calls", Reply{Needs: []wire.Need{{Calls: 8, Wait: 50 * time.Millisecond}}}, 100 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(tc.reply.ServiceTime(400 * time.Millisecond)).To(Equal(tc.want))
		})
	}
}
