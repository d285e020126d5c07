package bundle

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sort"

	"github.com/landingmast/landingmast/internal/failure"
)

// Section is one independently replaceable part of a bundle, in canonical JSON.
// The head, the entries and the classes are sections, and so is each service, so that a
// change to one service travels as one section.
type Section struct {
	Name string `json:"name" avro:"name"`
	Body []byte `json:"body" avro:"body"`
}

// Names of the sections.
const (
	sectionHead    = "head"
	sectionEntries = "entries"
	sectionClasses = "classes"
	servicePrefix  = "service/"
)

// Release is a signed bundle as it travels: all of its sections, or only those
// that differ from the base version. The signature covers the digest of the
// whole bundle, so that a delta needs no signature of its own.
type Release struct {
	Mesh      string    `json:"mesh" avro:"mesh"`
	Version   int64     `json:"version" avro:"version"`
	RollID    string    `json:"roll_id" avro:"roll_id"`
	Signer    string    `json:"signer" avro:"signer"`
	Digest    []byte    `json:"digest" avro:"digest"`
	Signature []byte    `json:"signature" avro:"signature"`
	Base      int64     `json:"base" avro:"base"` // 0: sections hold the whole bundle
	Sections  []Section `json:"sections" avro:"sections"`
	Removed   []string  `json:"removed,omitempty" avro:"removed"` // sections of the base that are gone
}

// Keyring maps the names of signers to their public keys.
type Keyring map[string]ed25519.PublicKey

// Split gives the sections of a bundle, sorted by name.
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
			return nil, failure.Wrap(err, failure.Internal, "report this", "bundle section %s", name)
		}
		sections = append(sections, Section{Name: name, Body: body})
	}
	sort.Slice(sections, func(i, j int) bool { return sections[i].Name < sections[j].Name })
	return sections, nil
}

// Join makes the bundle out of all of its sections and checks its rules.
func Join(sections []Section) (*Bundle, error) {
	joined := &Bundle{}
	var entries []Node
	var classes []Class
	var services []Service
	for _, section := range sections {
		var err error
		switch {
		case section.Name == sectionHead:
			err = json.Unmarshal(section.Body, joined)
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
			return nil, failure.Wrap(err, failure.BadInput, "sign the bundle again with a current landingmast", "bundle section %s cannot be read", section.Name)
		}
	}
	joined.Entries = entries
	joined.Classes = classes
	joined.Services = services
	if err := joined.Validate(); err != nil {
		return nil, err
	}
	return joined, nil
}

// DigestOf is the SHA-256 over the names and hashes of the sorted sections.
func DigestOf(sections []Section) []byte {
	sum := sha256.New()
	for _, section := range sections {
		hash := sha256.Sum256(section.Body)
		sum.Write([]byte(section.Name))
		sum.Write([]byte{0})
		sum.Write(hash[:])
	}
	return sum.Sum(nil)
}

func signedText(mesh string, version int64, signer string, digest []byte) []byte {
	text, _ := json.Marshal([]any{"landingmast-release-1", mesh, version, signer, digest})
	return text
}

// Sign makes a whole release of a checked bundle.
func Sign(b *Bundle, signer string, key ed25519.PrivateKey) (*Release, error) {
	sections, err := Split(b)
	if err != nil {
		return nil, err
	}
	digest := DigestOf(sections)
	return &Release{
		Mesh:      b.Mesh,
		Version:   b.Version,
		Signer:    signer,
		Digest:    digest,
		Signature: ed25519.Sign(key, signedText(b.Mesh, b.Version, signer, digest)),
		Sections:  sections,
	}, nil
}

// Installed is a bundle in force together with what is needed to pass it on.
type Installed struct {
	Bundle  *Bundle
	Release *Release // whole
}

// Open checks a release against the keyring and gives what it installs. base is
// what is in force now; it is needed for a delta and may be nil otherwise.
func Open(release *Release, keys Keyring, base *Installed) (*Installed, error) {
	whole, err := release.expand(base)
	if err != nil {
		return nil, err
	}
	key, known := keys[release.Signer]
	if !known {
		return nil, failure.New(failure.Untrusted, "add the signer's public key to the settings of the nodes, or have a known signer sign", "release %d: signer %q is unknown", release.Version, release.Signer)
	}
	if len(key) != ed25519.PublicKeySize {
		return nil, failure.New(failure.Untrusted, "correct the key in the settings", "key of signer %q is not usable", release.Signer)
	}
	digest := DigestOf(whole.Sections)
	if hex.EncodeToString(digest) != hex.EncodeToString(release.Digest) {
		return nil, failure.New(failure.Untrusted, "sign the bundle again", "release %d: digest does not match its content", release.Version)
	}
	if !ed25519.Verify(key, signedText(release.Mesh, release.Version, release.Signer, digest), release.Signature) {
		return nil, failure.New(failure.Untrusted, "sign the bundle again with the key of "+release.Signer, "release %d: signature of %q does not check", release.Version, release.Signer)
	}
	joined, err := Join(whole.Sections)
	if err != nil {
		return nil, err
	}
	if joined.Version != release.Version || joined.Mesh != release.Mesh {
		return nil, failure.New(failure.Untrusted, "sign the bundle again", "release %d names another version or mesh than its content", release.Version)
	}
	return &Installed{Bundle: joined, Release: whole}, nil
}

// expand gives the release with all of its sections.
func (r *Release) expand(base *Installed) (*Release, error) {
	whole := *r
	whole.Base = 0
	whole.Removed = nil
	if r.Base == 0 {
		whole.Sections = sortedSections(r.Sections)
		return &whole, nil
	}
	if base == nil || base.Release.Version != r.Base {
		return nil, failure.New(failure.Missing, "ask for the whole release", "delta %d needs version %d", r.Version, r.Base)
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
	whole.Sections = make([]Section, 0, len(byName))
	for _, section := range byName {
		whole.Sections = append(whole.Sections, section)
	}
	whole.Sections = sortedSections(whole.Sections)
	return &whole, nil
}

func sortedSections(sections []Section) []Section {
	sorted := append([]Section(nil), sections...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].Name < sorted[j].Name })
	return sorted
}

// Delta gives the release as the difference to an older whole release.
func (r *Release) Delta(base *Release) *Release {
	delta := *r
	delta.Base = base.Version
	delta.Sections = nil
	delta.Removed = nil
	old := map[string]string{}
	for _, section := range base.Sections {
		old[section.Name] = string(section.Body)
	}
	for _, section := range r.Sections {
		body, present := old[section.Name]
		if !present || body != string(section.Body) {
			delta.Sections = append(delta.Sections, section)
		}
		delete(old, section.Name)
	}
	for name := range old {
		delta.Removed = append(delta.Removed, name)
	}
	sort.Strings(delta.Removed)
	return &delta
}
