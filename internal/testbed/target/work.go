package target

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// workFor returns the first work whose prefix matches the path.
func (t *Target) workFor(path string) Work {
	for _, work := range t.Works {
		if strings.HasPrefix(path, work.Prefix) {
			return work
		}
	}
	return Work{Time: 10 * time.Millisecond, Bytes: 100}
}

// process simulates the service time, makes the downstream calls and returns the response
// status.
func (t *Target) process(ctx context.Context, r *http.Request, faults Faults) int {
	work := t.workFor(r.URL.Path)
	factor := 1.0
	if t.Speed > 0 {
		factor = t.Speed
	}
	if faults.Slow > 0 {
		factor *= faults.Slow
	}
	limit := 10 * time.Second
	if milliseconds, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms")); err == nil {
		limit = time.Duration(milliseconds) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	span := time.Duration(float64(work.Time) * factor * (0.7 + 0.6*rand.Float64()))
	select {
	case <-ctx.Done():
		return http.StatusGatewayTimeout
	case <-time.After(span):
	}
	for index, call := range work.Calls {
		for repeat := range call.Times {
			if !t.call(ctx, r, call, index*100+repeat) {
				if ctx.Err() != nil {
					return http.StatusGatewayTimeout
				}
				return http.StatusInternalServerError
			}
		}
	}
	return http.StatusOK
}

// call makes a downstream call through the node and reports whether it returned 200.
func (t *Target) call(ctx context.Context, r *http.Request, call Call, number int) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Outbound+call.Path, nil)
	if err != nil {
		return false
	}
	deadline, _ := ctx.Deadline()
	request.Host = call.Host
	request.Header.Set("X-Request-Id", r.Header.Get("X-Request-Id")+"."+strconv.Itoa(number)+strconv.FormatUint(rand.Uint64N(1<<20), 36))
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 1), 10))
	t.Judge.ExpectCall(request.Header.Get("X-Request-Id"), hostIP(t.Address), t.Service)
	response, err := t.httpClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return false
	}
	t.Judge.Received(request.Header.Get("X-Request-Id"), response.StatusCode, response.Header.Get("X-Response-Signature"), content)
	return true
}

// hostIP returns the IP part of an address.
func hostIP(address string) string {
	ip, _, _ := net.SplitHostPort(address)
	return ip
}
