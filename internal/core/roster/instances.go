package roster

// maxInstances limits the instances that a set remembers.
const maxInstances = 256

// instanceSet is a set of instances that forgets the oldest ones beyond maxInstances.
type instanceSet struct {
	members map[string]bool
	order   []string // oldest first
}

func newInstanceSet() instanceSet { return instanceSet{members: map[string]bool{}} }

func (s *instanceSet) has(instance string) bool { return s.members[instance] }

func (s *instanceSet) empty() bool { return len(s.members) == 0 }

func (s *instanceSet) add(instance string) {
	if instance == "" || s.members[instance] {
		return
	}
	s.members[instance] = true
	s.order = append(s.order, instance)
	if len(s.order) > maxInstances {
		delete(s.members, s.order[0])
		s.order = s.order[1:]
	}
}
