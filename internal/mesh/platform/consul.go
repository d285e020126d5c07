package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
	httpclient "github.com/landingmast/landingmast/gen/http/platform/client"
	api "github.com/landingmast/landingmast/gen/platform"
	"github.com/landingmast/landingmast/internal/failure"
	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"
)

// Consul speaks the published HTTP protocol through the client that goa made
// from design/platform.go.
type Consul struct {
	client  *api.Client
	timeout time.Duration
}

var _ Store = (*Consul)(nil)

// NewConsul makes the adapter to the service at IP:port.
func NewConsul(address string, timeout time.Duration) *Consul {
	transport := plainErrors{&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}}}
	raw := httpclient.NewClient("http", address, transport, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return &Consul{
		client:  api.NewClient(raw.Get(), raw.Put(), raw.CreateSession(), raw.RenewSession(), raw.DestroySession(), raw.CatalogNodes()),
		timeout: timeout,
	}
}

// plainErrors gives errors the body that the generated client reads. The service
// itself answers them with plain text or nothing; only the status counts.
type plainErrors struct{ client *http.Client }

var errorNames = map[int]string{
	http.StatusTooManyRequests: "limited", http.StatusNotFound: "missing", http.StatusBadRequest: "malformed",
	http.StatusInternalServerError: "unavailable", http.StatusServiceUnavailable: "unavailable",
}

// Do implements goahttp.Doer.
func (p plainErrors) Do(request *http.Request) (*http.Response, error) {
	response, err := p.client.Do(request)
	if err != nil {
		return nil, err
	}
	name, isError := errorNames[response.StatusCode]
	if !isError {
		return response, nil
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxErrorBody))
	_ = response.Body.Close()
	body, err := json.Marshal(map[string]any{
		"name": name, "id": "-", "message": response.Status, "temporary": false, "timeout": false, "fault": false,
	})
	if err != nil {
		return nil, err
	}
	response.Header.Set("Content-Type", "application/json")
	response.Body = io.NopCloser(bytes.NewReader(body))
	return response, nil
}

const maxErrorBody = 4 << 10

// Get implements Store.
func (c *Consul) Get(ctx context.Context, key string) (Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	result, err := c.client.Get(ctx, &api.GetPayload{Key: key})
	if err != nil {
		if isNamed(err, "missing") {
			return Entry{}, nil
		}
		return Entry{}, readError(err)
	}
	if len(result.Pairs) == 0 {
		return Entry{}, nil
	}
	return Entry{Value: result.Pairs[0].Value, Index: result.Pairs[0].ModifyIndex}, nil
}

// CompareAndSwap implements Store.
func (c *Consul) CompareAndSwap(ctx context.Context, key string, value []byte, index uint64) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	payload := &api.PutPayload{Key: key, Cas: &index}
	written, err := c.client.Put(ctx, payload, io.NopCloser(bytes.NewReader(value)))
	if err != nil {
		return false, writeError(err)
	}
	return written, nil
}

// Machines implements Store.
func (c *Consul) Machines(ctx context.Context) ([]Machine, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	result, err := c.client.CatalogNodes(ctx)
	if err != nil {
		return nil, 0, readError(err)
	}
	index, err := strconv.ParseUint(result.Index, 10, 64)
	if err != nil {
		return nil, 0, failure.Wrap(err, failure.Unavailable, "look at the platform's service", "machine list has an unusable index %q", result.Index)
	}
	machines := make([]Machine, 0, len(result.Nodes))
	for _, node := range result.Nodes {
		machines = append(machines, Machine{Node: node.Node, Leaving: node.Meta["state"] == "leaving"})
	}
	return machines, index, nil
}

func isNamed(err error, name string) bool {
	var named *goa.ServiceError
	return errors.As(err, &named) && named.Name == name
}

const (
	outageRemedy = "nothing now: nodes go on with what they have; look at the platform's service if it lasts"
	doubtRemedy  = "read the key again to see whether the change took effect"
)

func readError(err error) error {
	switch {
	case isNamed(err, "limited"):
		return failure.Wrap(err, failure.Limited, "ask again later", "platform limits requests")
	case isNamed(err, "missing"):
		return failure.Wrap(err, failure.Missing, "create it again", "platform has no such key or session")
	case isNamed(err, "malformed"):
		return failure.Wrap(err, failure.BadInput, "report this", "platform refused the request")
	default:
		return failure.Wrap(err, failure.Unavailable, outageRemedy, "platform cannot be reached")
	}
}

// writeError tells apart the refusals that came before any effect from answers
// that were lost.
func writeError(err error) error {
	if isNamed(err, "limited") || isNamed(err, "malformed") || isNamed(err, "missing") {
		return readError(err)
	}
	return failure.Wrap(err, failure.Uncertain, doubtRemedy, "answer of the platform was lost")
}
