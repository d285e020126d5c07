package bundle

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sort"

	"github.com/landingmast/landingmast/internal/failure"
)

// Section is a part of a bundle that a delta can replace, in canonical JSON. Each
// service is a section of its own, so that a change to one service transfers only
// that service.
type Section struct {
	Name string `json:"name" avro:"name"`
	Body []byte `json:"body" avro:"body"`
}

// Section names.
const (
	sectionHead    = "head"
	sectionEntries = "entries"
	sectionClasses = "classes"
	servicePrefix  = "service/"
)

// Release is the transfer format of a signed bundle: either all sections, or a delta
// with the sections that differ from a base version. The signature covers the digest
// of the full bundle, so it is the same for the full release and its deltas.
type Release struct {
	Mesh      string    `json:"mesh" avro:"mesh"`
	Version   int64     `json:"version" avro:"version"`
	RollID    string    `json:"roll_id" avro:"roll_id"`
	Signer    string    `json:"signer" avro:"signer"`
	Digest    []byte    `json:"digest" avro:"digest"`
	Signature []byte    `json:"signature" avro:"signature"`
	Base      int64     `json:"base" avro:"base"` // version that a delta applies to; 0 for a full release
	Sections  []Section `json:"sections" avro:"sections"`
	Removed   []string  `json:"removed,omitempty" avro:"removed"` // names of base sections that a delta deletes
}

// Keyring maps signer names to public keys.
type Keyring map[string]ed25519.PublicKey

// Split returns the sections of a bundle, sorted by name.
func Split(b *Bundle) ([]Section, error) {
	head := *b
	head.Services = nil
	head.Classes = nil
	head.Entries = nil
	parts := map[string]any{sectionHead: head, sectionEntries: b.Entries, sectionClasses: b.Classes}
	for _, service := range b.Services {
		parts[servicePrefix+service.Name] = service
	}
	sections := make([]Section, 0, len(parts))
	for name, part := range parts {
		body, err := json.Marshal(part)
		if err != nil {
			return nil, failure.Wrap(err, failure.Internal, "report this", "failed to encode bundle section %s", name)
		}
		sections = append(sections, Section{Name: name, Body: body})
	}
	sort.Slice(sections, func(i, j int) bool { return sections[i].Name < sections[j].Name })
	return sections, nil
}

// Join decodes a bundle from all of its sections and validates it.
func Join(sections []Section) (*Bundle, error) {
	bundle := &Bundle{}
	var entries []Node
	var classes []Class
	var services []Service
	for _, section := range sections {
		var err error
		switch {
		case section.Name == sectionHead:
			err = json.Unmarshal(section.Body, bundle)
		case section.Name == sectionEntries:
			err = json.Unmarshal(section.Body, &entries)
		case section.Name == sectionClasses:
			err = json.Unmarshal(section.Body, &classes)
		default:
			var service Service
			err = json.Unmarshal(section.Body, &service)
			services = append(services, service)
		}
		if err != nil {
			return nil, failure.Wrap(err, failure.BadInput, "sign the bundle again with a current landingmast", "failed to decode bundle section %s", section.Name)
		}
	}
	bundle.Entries = entries
	bundle.Classes = classes
	bundle.Services = services
	if err := bundle.Validate(); err != nil {
		return nil, err
	}
	return bundle, nil
}

// Digest returns the SHA-256 hash of the names and hashes of sections, which must be
// sorted by name.
func Digest(sections []Section) []byte {
	hash := sha256.New()
	for _, section := range sections {
		sectionHash := sha256.Sum256(section.Body)
		hash.Write([]byte(section.Name))
		hash.Write([]byte{0})
		hash.Write(sectionHash[:])
	}
	return hash.Sum(nil)
}

// signaturePayload returns the bytes that the signature of a release covers.
func signaturePayload(mesh string, version int64, signer string, digest []byte) []byte {
	payload, _ := json.Marshal([]any{"landingmast-release-1", mesh, version, signer, digest})
	return payload
}

// Sign returns a full release of a valid bundle.
func Sign(b *Bundle, signer string, privateKey ed25519.PrivateKey) (*Release, error) {
	sections, err := Split(b)
	if err != nil {
		return nil, err
	}
	digest := Digest(sections)
	return &Release{
		Mesh:      b.Mesh,
		Version:   b.Version,
		Signer:    signer,
		Digest:    digest,
		Signature: ed25519.Sign(privateKey, signaturePayload(b.Mesh, b.Version, signer, digest)),
		Sections:  sections,
	}, nil
}

// Installed is the bundle in force, with the release from which peers are served.
type Installed struct {
	Bundle  *Bundle
	Release *Release // full, never a delta
}

// Verify verifies the signature of a release and decodes its bundle. base is the
// installed version that a delta applies to; it may be nil for a full release.
func Verify(release *Release, keyring Keyring, base *Installed) (*Installed, error) {
	full, err := release.expand(base)
	if err != nil {
		return nil, err
	}
	key, ok := keyring[release.Signer]
	if !ok {
		return nil, failure.New(failure.Untrusted, "add the signer's public key to the settings of the nodes, or sign with a known key", "release %d: signer %q is unknown", release.Version, release.Signer)
	}
	if len(key) != ed25519.PublicKeySize {
		return nil, failure.New(failure.Untrusted, "correct the key in the settings", "public key of signer %q has the wrong length", release.Signer)
	}
	digest := Digest(full.Sections)
	if hex.EncodeToString(digest) != hex.EncodeToString(release.Digest) {
		return nil, failure.New(failure.Untrusted, "sign the bundle again", "release %d: digest does not match the sections", release.Version)
	}
	if !ed25519.Verify(key, signaturePayload(release.Mesh, release.Version, release.Signer, digest), release.Signature) {
		return nil, failure.New(failure.Untrusted, "sign the bundle again with the key of "+release.Signer, "release %d: signature by %q is invalid", release.Version, release.Signer)
	}
	bundle, err := Join(full.Sections)
	if err != nil {
		return nil, err
	}
	if bundle.Version != release.Version || bundle.Mesh != release.Mesh {
		return nil, failure.New(failure.Untrusted, "sign the bundle again", "release %d: version or mesh differs from the signed bundle", release.Version)
	}
	return &Installed{Bundle: bundle, Release: full}, nil
}

// expand returns the full release, applying a delta to base.
func (r *Release) expand(base *Installed) (*Release, error) {
	full := *r
	full.Base = 0
	full.Removed = nil
	if r.Base == 0 {
		full.Sections = sortedSections(r.Sections)
		return &full, nil
	}
	if base == nil || base.Release.Version != r.Base {
		return nil, failure.New(failure.NotFound, "request the full release", "delta to version %d requires version %d", r.Version, r.Base)
	}
	byName := map[string]Section{}
	for _, section := range base.Release.Sections {
		byName[section.Name] = section
	}
	for _, name := range r.Removed {
		delete(byName, name)
	}
	for _, section := range r.Sections {
		byName[section.Name] = section
	}
	full.Sections = make([]Section, 0, len(byName))
	for _, section := range byName {
		full.Sections = append(full.Sections, section)
	}
	full.Sections = sortedSections(full.Sections)
	return &full, nil
}

func sortedSections(sections []Section) []Section {
	sorted := append([]Section(nil), sections...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Name < sorted[j].Name })
	return sorted
}

// Delta returns the difference between base, an older full release, and r, also full.
func (r *Release) Delta(base *Release) *Release {
	delta := *r
	delta.Base = base.Version
	delta.Sections = nil
	delta.Removed = nil
	baseBodies := map[string]string{}
	for _, section := range base.Sections {
		baseBodies[section.Name] = string(section.Body)
	}
	for _, section := range r.Sections {
		baseBody, ok := baseBodies[section.Name]
		if !ok || baseBody != string(section.Body) {
			delta.Sections = append(delta.Sections, section)
		}
		delete(baseBodies, section.Name)
	}
	for name := range baseBodies {
		delta.Removed = append(delta.Removed, name)
	}
	sort.Strings(delta.Removed)
	return &delta
}
