package bundle

// Index speeds up the lookups that are made for every call; a large mesh has more
// than a thousand classes. The bundle must not be modified after NewIndex.
type Index struct {
	Bundle           *Bundle
	servicesByName   map[string]*Service
	classesByService map[string][]*Class // in match order
	classNames       map[string]bool
}

// NewIndex builds the index of a bundle.
func NewIndex(b *Bundle) *Index {
	ix := &Index{Bundle: b, servicesByName: map[string]*Service{}, classesByService: map[string][]*Class{}, classNames: map[string]bool{}}
	for i := range b.Services {
		ix.servicesByName[b.Services[i].Name] = &b.Services[i]
	}
	for i := range b.Classes {
		class := &b.Classes[i]
		ix.classesByService[class.Service] = append(ix.classesByService[class.Service], class)
		ix.classNames[class.Name] = true
	}
	return ix
}

// Match returns the first class that selects the request, or nil.
func (ix *Index) Match(service, method, path string) *Class {
	for _, class := range ix.classesByService[service] {
		if class.selects(method, path) {
			return class
		}
	}
	return nil
}

// Service returns the service with the given name, or nil.
func (ix *Index) Service(name string) *Service { return ix.servicesByName[name] }

// HasClass reports whether the bundle has a class with the given name.
func (ix *Index) HasClass(name string) bool { return ix.classNames[name] }
