package fence

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const retention = time.Minute

func TestFenceBeforeArrivalPreventsSend(t *testing.T) {
	g := NewWithT(t)
	l := New(retention)
	g.Expect(l.Fence(0, "a")).To(Equal(Fenced))
	g.Expect(l.Arrive(1, "a")).To(BeFalse())
	g.Expect(l.Send(2, "a")).To(BeFalse())
}

func TestFenceWhileWaitingPreventsSend(t *testing.T) {
	g := NewWithT(t)
	l := New(retention)
	g.Expect(l.Arrive(0, "a")).To(BeTrue())
	g.Expect(l.Fence(1, "a")).To(Equal(Fenced))
	g.Expect(l.Send(2, "a")).To(BeFalse())
}

func TestFenceReportsSentRequest(t *testing.T) {
	g := NewWithT(t)
	l := New(retention)
	g.Expect(l.Arrive(0, "a")).To(BeTrue())
	g.Expect(l.Send(1, "a")).To(BeTrue())
	g.Expect(l.Fence(2, "a")).To(Equal(Sent))
	l.End(3, "a")
	g.Expect(l.Fence(4, "a")).To(Equal(Ended))
}

func TestDuplicateArrivalIsRejected(t *testing.T) {
	g := NewWithT(t)
	l := New(retention)
	g.Expect(l.Arrive(0, "a")).To(BeTrue())
	g.Expect(l.Arrive(1, "a")).To(BeFalse())
}

func TestEvictsOnlyFinishedRequests(t *testing.T) {
	g := NewWithT(t)
	l := New(retention)
	l.Arrive(0, "runs")
	l.Send(0, "runs")
	l.Fence(0, "fenced")
	l.Arrive(2*retention, "later")
	g.Expect(l.State("fenced")).To(Equal(Unseen))
	g.Expect(l.State("runs")).To(Equal(Sent))
	g.Expect(l.Len()).To(Equal(2))
}

// Under any order of events within the retention time, no request is sent twice and no fenced
// request is sent.
func TestFencedRequestsNeverRunUnderRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(time.Hour)
		sent := map[string]int{}
		fenced := map[string]bool{}
		for now := range time.Duration(200) {
			id := strconv.Itoa(rapid.IntRange(0, 4).Draw(t, "id"))
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				l.Arrive(now, id)
			case 1:
				if l.Send(now, id) {
					sent[id]++
				}
			case 2:
				l.End(now, id)
			case 3:
				l.Withdraw(now, id)
			case 4:
				if l.Fence(now, id) == Fenced {
					fenced[id] = true
				}
			}
			if sent[id] > 1 || (fenced[id] && sent[id] > 0) {
				t.Fatalf("request %s: sent %d times, fenced: %v", id, sent[id], fenced[id])
			}
		}
	})
}
