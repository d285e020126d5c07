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

func (s *shell) registerBundle() {
	group := s.application.Command("bundle", "Check, sign, roll and follow bundles.")
	s.registerBundleFiles(group)
	s.registerBundlePlatform(group)
	status := group.Command("status", "Which nodes have which bundle in force.")
	s.add(status, s.bundleStatus)
}

func (s *shell) registerBundleFiles(group *kingpin.CmdClause) {
	check := group.Command("check", "Check a bundle file against the schema.")
	checkFile := check.Arg("file", "Bundle, YAML.").Required().String()
	s.add(check, func(context.Context) error { return s.bundleCheck(*checkFile) })

	sign := group.Command("sign", "Sign a bundle file.")
	signFile := sign.Arg("file", "Bundle, YAML.").Required().String()
	signer := sign.Flag("signer", "Name of the signer, as the nodes' settings have it.").Required().String()
	key := sign.Flag("key", "Signer's private key, PEM.").Required().String()
	target := sign.Flag("to", "File for the signed release.").Required().String()
	s.add(sign, func(context.Context) error { return s.bundleSign(*signFile, *signer, *key, *target) })
}

func (s *shell) registerBundlePlatform(group *kingpin.CmdClause) {
	address := group.Flag("platform", "Address of the platform's service, IP:port.").Envar("LANDINGMAST_PLATFORM").Default("127.0.0.1:8500").String()
	store := func() platform.Store { return platform.NewConsul(*address, platformTimeout) }

	rollCommand := group.Command("roll", "Put a signed release in force as the next version.")
	file := rollCommand.Arg("file", "Signed release, as `bundle sign` wrote it.").Required().String()
	s.add(rollCommand, func(ctx context.Context) error { return s.bundleRoll(ctx, store(), *file) })

	diff := group.Command("diff", "Compare a bundle file with the release in the platform.")
	diffFile := diff.Arg("file", "Bundle, YAML.").Required().String()
	s.add(diff, func(ctx context.Context) error { return s.bundleDiff(ctx, store(), *diffFile) })

	history := group.Command("history", "Versions that were rolled, newest first.")
	mesh := history.Arg("mesh", "Name of the mesh.").Required().String()
	s.add(history, func(ctx context.Context) error { return s.bundleHistory(ctx, store(), *mesh) })
}

const platformTimeout = 2 * time.Second

func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, failure.Wrap(err, failure.BadInput, "name a readable file", "file %s", path)
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

func (s *shell) bundleCheck(path string) error {
	parsed, err := readBundle(path)
	if err != nil {
		return err
	}
	summary := map[string]any{
		"mesh": parsed.Mesh, "version": parsed.Version, "services": len(parsed.Services), "classes": len(parsed.Classes), "nodes": len(parsed.Nodes()),
	}
	return s.print(summary, func(table *tabwriter.Writer) {
		row(table, "usable: mesh", parsed.Mesh, "version", parsed.Version, "services", len(parsed.Services), "classes", len(parsed.Classes), "nodes", len(parsed.Nodes()))
	})
}

func (s *shell) bundleSign(path, signer, keyFile, target string) error {
	parsed, err := readBundle(path)
	if err != nil {
		return err
	}
	data, err := readFile(keyFile)
	if err != nil {
		return err
	}
	key, err := security.ReadSigner(data)
	if err != nil {
		return err
	}
	release, err := bundle.Sign(parsed, signer, key)
	if err != nil {
		return err
	}
	encoded, err := json.Marshal(release)
	if err != nil {
		return failure.Wrap(err, failure.Internal, "report this", "release cannot be written")
	}
	if err := os.WriteFile(target, encoded, 0o644); err != nil {
		return failure.Wrap(err, failure.BadInput, "name a file that can be written", "file %s", target)
	}
	return s.print(release, func(table *tabwriter.Writer) {
		row(table, "signed", target, "version", release.Version, "digest", hex.EncodeToString(release.Digest[:6]))
	})
}

func (s *shell) bundleRoll(ctx context.Context, store platform.Store, path string) error {
	data, err := readFile(path)
	if err != nil {
		return err
	}
	release := &bundle.Release{}
	if err := json.Unmarshal(data, release); err != nil || len(release.Sections) == 0 {
		return failure.New(failure.BadInput, "name a file that `landingmast bundle sign` wrote", "file %s is no signed release", path)
	}
	entry, err := roll.Roll(ctx, store, release)
	if err != nil {
		return err
	}
	return s.print(entry, func(table *tabwriter.Writer) {
		row(table, "rolled version", entry.Version, "signer", entry.Signer, "roll id", entry.RollID)
	})
}

// bundleDiff names the sections that differ.
func (s *shell) bundleDiff(ctx context.Context, store platform.Store, path string) error {
	parsed, err := readBundle(path)
	if err != nil {
		return err
	}
	record, _, err := roll.Read(ctx, store, parsed.Mesh)
	if err != nil {
		return err
	}
	if record == nil {
		return failure.New(failure.Missing, "roll a first version", "no release of mesh %s was rolled", parsed.Mesh)
	}
	sections, err := bundle.Split(parsed)
	if err != nil {
		return err
	}
	file := &bundle.Release{Mesh: parsed.Mesh, Version: parsed.Version, Sections: sections}
	delta := file.Delta(record.Release)
	changes := sectionChanges(record.Release, delta)
	return s.print(changes, func(table *tabwriter.Writer) {
		row(table, "from version", record.Release.Version, "to version", parsed.Version)
		for _, change := range changes {
			row(table, change.Change, change.Section)
			if change.Before != "" {
				row(table, "", "- "+change.Before)
			}
			if change.After != "" {
				row(table, "", "+ "+change.After)
			}
		}
	})
}

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

func (s *shell) bundleHistory(ctx context.Context, store platform.Store, mesh string) error {
	record, _, err := roll.Read(ctx, store, mesh)
	if err != nil {
		return err
	}
	if record == nil {
		return failure.New(failure.Missing, "roll a first version", "no release of mesh %s was rolled", mesh)
	}
	return s.print(record.History, func(table *tabwriter.Writer) {
		row(table, "VERSION", "ROLLED AT", "SIGNER", "ROLL ID", "DIGEST")
		for _, entry := range record.History {
			row(table, entry.Version, entry.RolledAt.Format(time.RFC3339), entry.Signer, entry.RollID, entry.Digest[:min(len(entry.Digest), 12)])
		}
	})
}

func (s *shell) bundleStatus(ctx context.Context) error {
	nodes, err := s.client().Nodes(ctx)
	if err != nil {
		return err
	}
	newest := int64(0)
	for _, node := range nodes {
		newest = max(newest, node.BundleVersion)
	}
	behind := 0
	for _, node := range nodes {
		if node.BundleVersion != newest {
			behind++
		}
	}
	return s.print(nodes, func(table *tabwriter.Writer) {
		row(table, "newest version", newest, "in force on", len(nodes)-behind, "of", len(nodes), "nodes")
		row(table, "NODE", "STATE", "BUNDLE", "DIGEST", "REFUSED")
		for _, node := range nodes {
			row(table, node.Node, node.State, node.BundleVersion, dash(node.BundleDigest), node.BundlesRejected)
		}
	})
}
