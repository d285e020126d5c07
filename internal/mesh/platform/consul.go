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

// Consul implements Store over Consul's HTTP API, using the client that goa
// generates from design/platform.go.
type Consul struct {
	client  *api.Client
	timeout time.Duration
}

var _ Store = (*Consul)(nil)

// NewConsul returns a Store for the Consul agent at address, given as IP:port.
func NewConsul(address string, timeout time.Duration) *Consul {
	transport := errorNormalizer{&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: time.Minute}}}
	raw := httpclient.NewClient("http", address, transport, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return &Consul{
		client:  api.NewClient(raw.Get(), raw.Put(), raw.CreateSession(), raw.RenewSession(), raw.DestroySession(), raw.CatalogNodes()),
		timeout: timeout,
	}
}

// errorNormalizer replaces the body of error responses by the JSON that the generated
// client decodes. Consul itself returns plain text or no body.
type errorNormalizer struct{ client *http.Client }

var errorNameByStatus = map[int]string{
	http.StatusTooManyRequests: "limited", http.StatusNotFound: "missing", http.StatusBadRequest: "malformed",
	http.StatusInternalServerError: "unavailable", http.StatusServiceUnavailable: "unavailable",
}

// Do implements goahttp.Doer.
func (e errorNormalizer) Do(request *http.Request) (*http.Response, error) {
	response, err := e.client.Do(request)
	if err != nil {
		return nil, err
	}
	name, isError := errorNameByStatus[response.StatusCode]
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
		if hasErrorName(err, "missing") {
			return Entry{}, nil
		}
		return Entry{}, classifyReadError(err)
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
		return false, classifyWriteError(err)
	}
	return written, nil
}

// Machines implements Store.
func (c *Consul) Machines(ctx context.Context) ([]Machine, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	result, err := c.client.CatalogNodes(ctx)
	if err != nil {
		return nil, 0, classifyReadError(err)
	}
	index, err := strconv.ParseUint(result.Index, 10, 64)
	if err != nil {
		return nil, 0, failure.Wrap(err, failure.Unavailable, "check the platform's service", "machine list has an invalid index %q", result.Index)
	}
	machines := make([]Machine, 0, len(result.Nodes))
	for _, node := range result.Nodes {
		machines = append(machines, Machine{Node: node.Node, Leaving: node.Meta["state"] == "leaving"})
	}
	return machines, index, nil
}

func hasErrorName(err error, name string) bool {
	var named *goa.ServiceError
	return errors.As(err, &named) && named.Name == name
}

const (
	outageRemedy    = "none needed: nodes keep using their current data; check the platform's service if the outage persists"
	uncertainRemedy = "read the key again to check whether the write took effect"
)

func classifyReadError(err error) error {
	switch {
	case hasErrorName(err, "limited"):
		return failure.Wrap(err, failure.RateLimited, "retry later", "platform rate limit exceeded")
	case hasErrorName(err, "missing"):
		return failure.Wrap(err, failure.NotFound, "create the key or session again", "key or session not found in the platform")
	case hasErrorName(err, "malformed"):
		return failure.Wrap(err, failure.BadInput, "report this as a bug", "platform rejected the request as malformed")
	default:
		return failure.Wrap(err, failure.Unavailable, outageRemedy, "platform is unreachable")
	}
}

// classifyWriteError distinguishes writes that were rejected before taking effect from
// writes whose result is unknown.
func classifyWriteError(err error) error {
	if hasErrorName(err, "limited") || hasErrorName(err, "malformed") || hasErrorName(err, "missing") {
		return classifyReadError(err)
	}
	return failure.Wrap(err, failure.Uncertain, uncertainRemedy, "no response from the platform; the write may have taken effect")
}
