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

// Bundle gives a copy of the deployment's bundle at a version.
func (c *Cluster) Bundle(version int64) *bundle.Bundle {
	return c.Deployment.Bundle(version, func(name string) string { return c.address[name] })
}

// Store gives access to the platform's stand-in, as an operator has it.
func (c *Cluster) Store() platform.Store { return platform.NewConsul(c.PlatformAddr, time.Second) }

// Roll signs a bundle and rolls it.
func (c *Cluster) Roll(ctx context.Context, wanted *bundle.Bundle) (*platform.HistoryEntry, error) {
	release, err := bundle.Sign(wanted, c.SignerName, c.SignerKey)
	if err != nil {
		return nil, err
	}
	return roll.Roll(ctx, c.Store(), release)
}

// SetFaults changes the faults of the platform's stand-in.
func (c *Cluster) SetFaults(faults standin.Faults) error {
	return c.put("/lab/faults", faults)
}

// SetMachine changes a machine in the platform's list.
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

// SetBehaviour changes how the back end beside a node behaves.
func (c *Cluster) SetBehaviour(process *Process, behaviour standin.Behaviour) error {
	return putJSON("http://"+process.Target+"/lab/behaviour", behaviour)
}

// Executions gives what the back ends really ran.
func (c *Cluster) Executions() ([]standin.Execution, error) {
	var all []standin.Execution
	for _, process := range c.Nodes {
		if process.Target == "" {
			continue
		}
		var some []standin.Execution
		if err := getJSON("http://"+process.Target+"/lab/executions", &some); err != nil {
			return nil, err
		}
		all = append(all, some...)
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
