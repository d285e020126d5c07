package bundle

// Index answers the questions that every call asks of a bundle without going
// through its lists; a large mesh has more than a thousand classes. It belongs
// to a bundle that does not change any more.
type Index struct {
	Bundle   *Bundle
	services map[string]*Service
	classes  map[string][]*Class // by service, in the order of the bundle
	names    map[string]bool     // of classes
}

// NewIndex makes the index of a bundle.
func NewIndex(b *Bundle) *Index {
	index := &Index{Bundle: b, services: map[string]*Service{}, classes: map[string][]*Class{}, names: map[string]bool{}}
	for place := range b.Services {
		index.services[b.Services[place].Name] = &b.Services[place]
	}
	for place := range b.Classes {
		class := &b.Classes[place]
		index.classes[class.Service] = append(index.classes[class.Service], class)
		index.names[class.Name] = true
	}
	return index
}

// Match gives the first class that selects the request, or nil.
func (i *Index) Match(service, method, path string) *Class {
	for _, class := range i.classes[service] {
		if class.selects(method, path) {
			return class
		}
	}
	return nil
}

// Service gives the service of that name, or nil.
func (i *Index) Service(name string) *Service { return i.services[name] }

// HasClass tells whether the bundle has a class of that name.
func (i *Index) HasClass(name string) bool { return i.names[name] }
