package operator

import (
	"context"
	"encoding/base64"
	"os"
	"text/tabwriter"

	"github.com/landingmast/landingmast/internal/failure"
	"github.com/landingmast/landingmast/internal/mesh/security"
)

func (s *shell) registerKeys() {
	group := s.application.Command("keys", "Make keys.")

	authority := group.Command("authority", "Make the certificate authority of a mesh's nodes.")
	mesh := authority.Arg("mesh", "Name of the mesh.").Required().String()
	authorityTo := authority.Flag("to", "Prefix of the files: PREFIX.crt and PREFIX.key.").Required().String()
	s.add(authority, func(context.Context) error {
		pair, err := security.NewAuthority(*mesh)
		if err != nil {
			return err
		}
		return s.writePair(*authorityTo, pair)
	})

	node := group.Command("node", "Issue the certificate of a node.")
	name := node.Arg("node", "Name of the node.").Required().String()
	from := node.Flag("authority", "Prefix of the authority's files.").Required().String()
	nodeTo := node.Flag("to", "Prefix of the files: PREFIX.crt and PREFIX.key.").Required().String()
	s.add(node, func(context.Context) error { return s.keysNode(*name, *from, *nodeTo) })

	signer := group.Command("signer", "Make an operator's key and print its public part for the settings.")
	signerTo := signer.Flag("to", "File for the private key.").Required().String()
	s.add(signer, func(context.Context) error { return s.keysSigner(*signerTo) })
}

func (s *shell) keysNode(name, from, target string) error {
	certificate, err := readFile(from + ".crt")
	if err != nil {
		return err
	}
	key, err := readFile(from + ".key")
	if err != nil {
		return err
	}
	pair, err := security.NewNode(security.Pair{Certificate: certificate, Key: key}, name)
	if err != nil {
		return err
	}
	return s.writePair(target, pair)
}

func (s *shell) writePair(prefix string, pair security.Pair) error {
	if err := writePrivate(prefix+".key", pair.Key); err != nil {
		return err
	}
	if err := os.WriteFile(prefix+".crt", pair.Certificate, 0o644); err != nil {
		return failure.Wrap(err, failure.BadInput, "name a place that can be written", "file %s", prefix+".crt")
	}
	return s.print([]string{prefix + ".crt", prefix + ".key"}, func(table *tabwriter.Writer) { row(table, "wrote", prefix+".crt", prefix+".key") })
}

// writePrivate never replaces a key: the old one may still be in use.
func writePrivate(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return failure.Wrap(err, failure.BadInput, "name a new file; keys are never replaced in place", "file %s", path)
	}
	defer file.Close()
	if _, err := file.Write(data); err != nil {
		return failure.Wrap(err, failure.Internal, "look at the disk", "file %s", path)
	}
	return nil
}

func (s *shell) keysSigner(path string) error {
	private, public, err := security.NewSigner()
	if err != nil {
		return err
	}
	if err := writePrivate(path, private); err != nil {
		return err
	}
	encoded := base64.StdEncoding.EncodeToString(public)
	return s.print(map[string]string{"file": path, "public_key": encoded}, func(table *tabwriter.Writer) {
		row(table, "wrote", path)
		row(table, "public_key:", encoded)
	})
}
