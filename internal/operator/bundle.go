package operator

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"os"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/landingmast/landingmast/internal/failure"
	"github.com/landingmast/landingmast/internal/mesh/core/bundle"
	"github.com/landingmast/landingmast/internal/mesh/platform"
	"github.com/landingmast/landingmast/internal/mesh/roll"
	"github.com/landingmast/landingmast/internal/mesh/security"
)

func (c *cli) registerBundle() {
	group := c.application.Command("bundle", "Check, sign, roll and inspect bundles.")
	c.registerBundleFiles(group)
	c.registerBundlePlatform(group)
	status := group.Command("status", "Show the bundle version installed on each node.")
	c.add(status, c.bundleStatus)
}

func (c *cli) registerBundleFiles(group *kingpin.CmdClause) {
	check := group.Command("check", "Validate a bundle file.")
	checkFile := check.Arg("file", "Bundle file in YAML.").Required().String()
	c.add(check, func(context.Context) error { return c.bundleCheck(*checkFile) })

	sign := group.Command("sign", "Sign a bundle file.")
	signFile := sign.Arg("file", "Bundle file in YAML.").Required().String()
	signer := sign.Flag("signer", "Name of the signer in the nodes' settings.").Required().String()
	key := sign.Flag("key", "PEM file with the signer's private key.").Required().String()
	outputFile := sign.Flag("to", "Output file for the signed release.").Required().String()
	c.add(sign, func(context.Context) error { return c.bundleSign(*signFile, *signer, *key, *outputFile) })
}

func (c *cli) registerBundlePlatform(group *kingpin.CmdClause) {
	address := group.Flag("platform", "Address of the platform's key-value service, IP:port.").Envar("LANDINGMAST_PLATFORM").Default("127.0.0.1:8500").String()
	store := func() platform.Store { return platform.NewConsul(*address, platformTimeout) }

	rollCommand := group.Command("roll", "Publish a signed release as the next version.")
	file := rollCommand.Arg("file", "Signed release written by `bundle sign`.").Required().String()
	c.add(rollCommand, func(ctx context.Context) error { return c.bundleRoll(ctx, store(), *file) })

	diff := group.Command("diff", "Compare a bundle file with the current release in the platform.")
	diffFile := diff.Arg("file", "Bundle file in YAML.").Required().String()
	c.add(diff, func(ctx context.Context) error { return c.bundleDiff(ctx, store(), *diffFile) })

	history := group.Command("history", "List the rolled versions, newest first.")
	mesh := history.Arg("mesh", "Name of the mesh.").Required().String()
	c.add(history, func(ctx context.Context) error { return c.bundleHistory(ctx, store(), *mesh) })
}

const platformTimeout = 2 * time.Second

func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.Wrap(err, failure.BadInput, "specify a readable file", "file %s", path)
	}
	return data, nil
}

func readBundle(path string) (*bundle.Bundle, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	parsed, err := bundle.Parse(data)
	if err != nil {
		return nil, failure.Wrap(err, failure.BadInput, "", "file %s", path)
	}
	return parsed, nil
}

func (c *cli) bundleCheck(path string) error {
	parsed, err := readBundle(path)
	if err != nil {
		return err
	}
	summary := map[string]any{
		"mesh": parsed.Mesh, "version": parsed.Version, "services": len(parsed.Services), "classes": len(parsed.Classes), "nodes": len(parsed.Nodes()),
	}
	return c.print(summary, func(table *tabwriter.Writer) {
		writeRow(table, "usable: mesh", parsed.Mesh, "version", parsed.Version, "services", len(parsed.Services), "classes", len(parsed.Classes), "nodes", len(parsed.Nodes()))
	})
}

func (c *cli) bundleSign(path, signer, keyFile, outputFile string) error {
	parsed, err := readBundle(path)
	if err != nil {
		return err
	}
	data, err := readFile(keyFile)
	if err != nil {
		return err
	}
	key, err := security.ParseSigningKey(data)
	if err != nil {
		return err
	}
	release, err := bundle.Sign(parsed, signer, key)
	if err != nil {
		return err
	}
	encoded, err := json.Marshal(release)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "report this as a bug", "cannot encode the release")
	}
	if err := os.WriteFile(outputFile, encoded, 0o644); err != nil {
		return failure.Wrap(err, failure.BadInput, "specify a writable file", "file %s", outputFile)
	}
	return c.print(release, func(table *tabwriter.Writer) {
		writeRow(table, "signed", outputFile, "version", release.Version, "digest", hex.EncodeToString(release.Digest[:6]))
	})
}

func (c *cli) bundleRoll(ctx context.Context, store platform.Store, path string) error {
	data, err := readFile(path)
	if err != nil {
		return err
	}
	release := &bundle.Release{}
	if err := json.Unmarshal(data, release); err != nil || len(release.Sections) == 0 {
		return failure.New(failure.BadInput, "specify a file written by `landingmast bundle sign`", "file %s is not a signed release", path)
	}
	entry, err := roll.Roll(ctx, store, release)
	if err != nil {
		return err
	}
	return c.print(entry, func(table *tabwriter.Writer) {
		writeRow(table, "rolled version", entry.Version, "signer", entry.Signer, "roll id", entry.RollID)
	})
}

// bundleDiff prints the sections that differ between a file and the current release.
func (c *cli) bundleDiff(ctx context.Context, store platform.Store, path string) error {
	parsed, err := readBundle(path)
	if err != nil {
		return err
	}
	record, _, err := roll.Read(ctx, store, parsed.Mesh)
	if err != nil {
		return err
	}
	if record == nil {
		return failure.New(failure.NotFound, "roll the first version", "mesh %s has no release", parsed.Mesh)
	}
	sections, err := bundle.Split(parsed)
	if err != nil {
		return err
	}
	file := &bundle.Release{Mesh: parsed.Mesh, Version: parsed.Version, Sections: sections}
	delta := file.Delta(record.Release)
	changes := sectionChanges(record.Release, delta)
	return c.print(changes, func(table *tabwriter.Writer) {
		writeRow(table, "from version", record.Release.Version, "to version", parsed.Version)
		for _, change := range changes {
			writeRow(table, change.Change, change.Section)
			if change.Before != "" {
				writeRow(table, "", "- "+change.Before)
			}
			if change.After != "" {
				writeRow(table, "", "+ "+change.After)
			}
		}
	})
}

// sectionChange is a difference in one section of a bundle.
type sectionChange struct {
	Change  string `json:"change"`
	Section string `json:"section"`
	Before  string `json:"before,omitempty"`
	After   string `json:"after,omitempty"`
}

func sectionChanges(old, delta *bundle.Release) []sectionChange {
	before := map[string]string{}
	for _, section := range old.Sections {
		before[section.Name] = string(section.Body)
	}
	var changes []sectionChange
	for _, section := range delta.Sections {
		change := sectionChange{Change: "changed", Section: section.Name, Before: before[section.Name], After: string(section.Body)}
		if change.Before == "" {
			change.Change = "added"
		}
		changes = append(changes, change)
	}
	for _, name := range delta.Removed {
		changes = append(changes, sectionChange{Change: "removed", Section: name, Before: before[name]})
	}
	return changes
}

func (c *cli) bundleHistory(ctx context.Context, store platform.Store, mesh string) error {
	record, _, err := roll.Read(ctx, store, mesh)
	if err != nil {
		return err
	}
	if record == nil {
		return failure.New(failure.NotFound, "roll the first version", "mesh %s has no release", mesh)
	}
	return c.print(record.History, func(table *tabwriter.Writer) {
		writeRow(table, "VERSION", "ROLLED AT", "SIGNER", "ROLL ID", "DIGEST")
		for _, entry := range record.History {
			writeRow(table, entry.Version, entry.RolledAt.Format(time.RFC3339), entry.Signer, entry.RollID, entry.Digest[:min(len(entry.Digest), 12)])
		}
	})
}

func (c *cli) bundleStatus(ctx context.Context) error {
	nodes, err := c.client().Nodes(ctx)
	if err != nil {
		return err
	}
	latest := int64(0)
	for _, node := range nodes {
		latest = max(latest, node.BundleVersion)
	}
	outdated := 0
	for _, node := range nodes {
		if node.BundleVersion != latest {
			outdated++
		}
	}
	return c.print(nodes, func(table *tabwriter.Writer) {
		writeRow(table, "newest version", latest, "in force on", len(nodes)-outdated, "of", len(nodes), "nodes")
		writeRow(table, "NODE", "STATE", "BUNDLE", "DIGEST", "REFUSED")
		for _, node := range nodes {
			writeRow(table, node.Node, node.State, node.BundleVersion, orDash(node.BundleDigest), node.BundlesRejected)
		}
	})
}
