package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/landingmast/landingmast/internal/mesh/core/bundle"
	"github.com/landingmast/landingmast/internal/mesh/lab/standin"
	"github.com/landingmast/landingmast/internal/mesh/platform"
	"github.com/landingmast/landingmast/internal/mesh/roll"
)

// Bundle returns the deployment's bundle with the given version.
func (c *Cluster) Bundle(version int64) *bundle.Bundle {
	return c.Deployment.Bundle(version, func(name string) string { return c.addresses[name] })
}

// Store returns a client of the platform stub, as an operator would use.
func (c *Cluster) Store() platform.Store { return platform.NewConsul(c.PlatformAddr, time.Second) }

// Roll signs a bundle and publishes it.
func (c *Cluster) Roll(ctx context.Context, wanted *bundle.Bundle) (*platform.HistoryEntry, error) {
	release, err := bundle.Sign(wanted, c.SignerName, c.SignerKey)
	if err != nil {
		return nil, err
	}
	return roll.Roll(ctx, c.Store(), release)
}

// SetFaults configures the faults that the platform stub injects.
func (c *Cluster) SetFaults(faults standin.Faults) error {
	return c.put("/lab/faults", faults)
}

// SetMachine sets the state of a node in the platform's machine list.
func (c *Cluster) SetMachine(node, state string) error {
	return c.put("/lab/machines/"+node+"/"+state, struct{}{})
}

func (c *Cluster) put(path string, body any) error {
	return putJSON("http://"+c.PlatformAddr+path, body)
}

func putJSON(url string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// SetBehaviour configures the back-end stub of a node.
func (c *Cluster) SetBehaviour(process *Process, behaviour standin.Behaviour) error {
	return putJSON("http://"+process.Target+"/lab/behaviour", behaviour)
}

// Executions returns the requests that the back ends executed.
func (c *Cluster) Executions() ([]standin.Execution, error) {
	var all []standin.Execution
	for _, process := range c.Nodes {
		if process.Target == "" {
			continue
		}
		var executions []standin.Execution
		if err := getJSON("http://"+process.Target+"/lab/executions", &executions); err != nil {
			return nil, err
		}
		all = append(all, executions...)
	}
	return all, nil
}

func getJSON(url string, into any) error {
	response, err := http.Get(url)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, into)
}
