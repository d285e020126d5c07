package membership

import (
	"math/rand/v2"
	"slices"
)

// ZonePeers returns the names of the other nodes of the zone.
func (m *Members) ZonePeers() []string {
	zone := m.options.Settings().Zone
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var names []string
	for name, record := range m.records {
		if record.Zone == zone {
			names = append(names, name)
		}
	}
	return names
}

// ZoneCount returns the number of zones that have a node, the own one among them.
func (m *Members) ZoneCount() int { return len(m.ZoneNames()) }

// ZoneNames returns the zones that have a node, the own one among them, in alphabetical order.
func (m *Members) ZoneNames() []string {
	found := map[string]bool{m.options.Settings().Zone: true}
	m.mutex.Lock()
	for _, record := range m.records {
		found[record.Zone] = true
	}
	m.mutex.Unlock()
	names := make([]string, 0, len(found))
	for name := range found {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Addresses returns the addresses of the other nodes by zone, in a random order. Nodes that
// are taken for dead are left out.
func (m *Members) Addresses() map[string][]string {
	found := map[string][]string{}
	m.mutex.Lock()
	for name, record := range m.records {
		if name != m.options.Settings().Node && !m.options.Silent(name) {
			found[record.Zone] = append(found[record.Zone], record.Address)
		}
	}
	m.mutex.Unlock()
	for _, addresses := range found {
		shuffle(addresses)
	}
	return found
}

// sameZoneProbability is the share of exchanges that stay in the zone, where traffic is free of charge.
const sameZoneProbability = 0.75

// AnyAddress returns the address of another node, chosen at random, more often one of the own
// zone; empty: none is known.
func (m *Members) AnyAddress() string {
	near, far := m.addressesByLocality()
	if len(near) == 0 || len(far) > 0 && rand.Float64() >= sameZoneProbability {
		near = far
	}
	return randomAddress(near)
}

// AddressElsewhere returns the address of a node in another zone, chosen at random, or of any
// other node if there is none; empty: no other node is known.
func (m *Members) AddressElsewhere() string {
	near, far := m.addressesByLocality()
	if len(far) == 0 {
		far = near
	}
	return randomAddress(far)
}

// addressesByLocality returns the addresses of the other nodes in the own zone and in others.
func (m *Members) addressesByLocality() (near, far []string) {
	for zone, addresses := range m.Addresses() {
		if zone == m.options.Settings().Zone {
			near = addresses
			continue
		}
		far = append(far, addresses...)
	}
	return near, far
}

func randomAddress(addresses []string) string {
	if len(addresses) == 0 {
		return ""
	}
	return addresses[rand.IntN(len(addresses))]
}

// shuffle puts the addresses into a random order.
func shuffle(addresses []string) []string {
	rand.Shuffle(len(addresses), func(a, b int) { addresses[a], addresses[b] = addresses[b], addresses[a] })
	return addresses
}
