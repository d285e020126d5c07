package operator

import (
	"context"
	"encoding/base64"
	"os"
	"text/tabwriter"

	"github.com/landingmast/landingmast/internal/failure"
	"github.com/landingmast/landingmast/internal/mesh/security"
)

func (c *cli) registerKeys() {
	group := c.application.Command("keys", "Generate keys and certificates.")

	authority := group.Command("authority", "Generate the certificate authority of a mesh.")
	mesh := authority.Arg("mesh", "Name of the mesh.").Required().String()
	authorityTo := authority.Flag("to", "Prefix of the output files: PREFIX.crt and PREFIX.key.").Required().String()
	c.add(authority, func(context.Context) error {
		pair, err := security.NewAuthority(*mesh)
		if err != nil {
			return err
		}
		return c.writePair(*authorityTo, pair)
	})

	node := group.Command("node", "Issue a node certificate.")
	name := node.Arg("node", "Name of the node.").Required().String()
	authorityPrefix := node.Flag("authority", "Prefix of the authority's files: PREFIX.crt and PREFIX.key.").Required().String()
	nodeTo := node.Flag("to", "Prefix of the output files: PREFIX.crt and PREFIX.key.").Required().String()
	c.add(node, func(context.Context) error { return c.keysNode(*name, *authorityPrefix, *nodeTo) })

	signer := group.Command("signer", "Generate an operator's signing key and print the public key for the settings.")
	signerTo := signer.Flag("to", "Output file for the private key.").Required().String()
	c.add(signer, func(context.Context) error { return c.keysSigner(*signerTo) })
}

func (c *cli) keysNode(name, authorityPrefix, outputPrefix string) error {
	certificate, err := readFile(authorityPrefix + ".crt")
	if err != nil {
		return err
	}
	key, err := readFile(authorityPrefix + ".key")
	if err != nil {
		return err
	}
	pair, err := security.NewNode(security.KeyPair{Certificate: certificate, Key: key}, name)
	if err != nil {
		return err
	}
	return c.writePair(outputPrefix, pair)
}

func (c *cli) writePair(prefix string, pair security.KeyPair) error {
	if err := writePrivate(prefix+".key", pair.Key); err != nil {
		return err
	}
	if err := os.WriteFile(prefix+".crt", pair.Certificate, 0o644); err != nil {
		return failure.Wrap(err, failure.BadInput, "specify a writable path", "file %s", prefix+".crt")
	}
	return c.print([]string{prefix + ".crt", prefix + ".key"}, func(table *tabwriter.Writer) { writeRow(table, "wrote", prefix+".crt", prefix+".key") })
}

// writePrivate writes a private key with mode 0600. It never overwrites a file, since the
// existing key may be in use.
func writePrivate(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return failure.Wrap(err, failure.BadInput, "specify a new file; existing keys are never overwritten", "file %s", path)
	}
	defer file.Close()
	if _, err := file.Write(data); err != nil {
		return failure.Wrap(err, failure.Internal, "check the disk", "file %s", path)
	}
	return nil
}

func (c *cli) keysSigner(path string) error {
	private, public, err := security.GenerateSigningKey()
	if err != nil {
		return err
	}
	if err := writePrivate(path, private); err != nil {
		return err
	}
	encoded := base64.StdEncoding.EncodeToString(public)
	return c.print(map[string]string{"file": path, "public_key": encoded}, func(table *tabwriter.Writer) {
		writeRow(table, "wrote", path)
		writeRow(table, "public_key:", encoded)
	})
}
