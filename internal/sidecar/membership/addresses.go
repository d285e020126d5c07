package membership

import (
	"math/rand/v2"
	"slices"
)

// ZonePeers returns the names of the other nodes in the local zone.
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

// ZoneCount returns the number of zones with at least one node, including the local zone.
func (m *Members) ZoneCount() int { return len(m.ZoneNames()) }

// ZoneNames returns the zones with at least one node, including the local zone, sorted by name.
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

// Addresses returns the addresses of the other nodes by zone, each list shuffled. It omits nodes
// that the failure detector considers dead.
func (m *Members) Addresses() map[string][]string {
	found := map[string][]string{}
	m.mutex.Lock()
	for name, record := range m.records {
		if name != m.options.Settings().Node && !m.options.Unresponsive(name) {
			found[record.Zone] = append(found[record.Zone], record.Address)
		}
	}
	m.mutex.Unlock()
	for _, addresses := range found {
		shuffle(addresses)
	}
	return found
}

// sameZoneProbability is the fraction of exchanges with a node of the local zone. Traffic between
// zones is billed.
const sameZoneProbability = 0.75

// RandomAddress returns the address of a random other node and prefers the local zone. It returns an
// empty string if no other node is known.
func (m *Members) RandomAddress() string {
	local, remote := m.addressesByLocality()
	if len(local) == 0 || len(remote) > 0 && rand.Float64() >= sameZoneProbability {
		local = remote
	}
	return randomAddress(local)
}

// RemoteZoneAddress returns the address of a random node in another zone, or of any other node if
// all are in the local zone. It returns an empty string if no other node is known.
func (m *Members) RemoteZoneAddress() string {
	local, remote := m.addressesByLocality()
	if len(remote) == 0 {
		remote = local
	}
	return randomAddress(remote)
}

// addressesByLocality returns the addresses of the other nodes in the local zone and in all
// remote zones.
func (m *Members) addressesByLocality() (local, remote []string) {
	for zone, addresses := range m.Addresses() {
		if zone == m.options.Settings().Zone {
			local = addresses
			continue
		}
		remote = append(remote, addresses...)
	}
	return local, remote
}

func randomAddress(addresses []string) string {
	if len(addresses) == 0 {
		return ""
	}
	return addresses[rand.IntN(len(addresses))]
}

func shuffle(addresses []string) []string {
	rand.Shuffle(len(addresses), func(a, b int) { addresses[a], addresses[b] = addresses[b], addresses[a] })
	return addresses
}
