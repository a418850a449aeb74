package placement

import "github.com/daisywall/daisywall/structs"

// pair is the predicted effect of one task of a class on one service.
type pair struct {
	mean, deviation float64
	loaded          bool
}

type sizeKey struct {
	class    int
	declared structs.Resources
}

type size struct{ reserve, usage structs.Resources }

type serviceKey struct{ class, band int }

// classTable numbers the classes of a round and caches what the estimates say
// about them.
type classTable struct {
	estimates Estimates
	numbers   map[string]int
	names     []string
	sizes     map[sizeKey]size
	services  map[serviceKey]int
	keys      []serviceKey
	pairs     [][]pair // by service number, then class number
	width     int      // length of the rows of pairs
	lastName  string   // most recent lookup, since equal classes come in runs
	lastClass int
}

// initialWidth is the number of classes that a new table has room for.
const initialWidth = 64

func newClassTable(e Estimates) *classTable {
	return &classTable{
		estimates: e,
		width:     initialWidth,
		numbers:   map[string]int{},
		sizes:     map[sizeKey]size{},
		services:  map[serviceKey]int{},
		lastClass: -1,
	}
}

// class returns the number of the named class.
func (t *classTable) class(name string) int {
	if t.lastClass >= 0 && t.lastName == name {
		return t.lastClass
	}
	number, found := t.numbers[name]
	if !found {
		number = len(t.names)
		t.numbers[name] = number
		t.names = append(t.names, name)
		t.widen(number)
	}
	t.lastName, t.lastClass = name, number
	return number
}

// size returns what a task of the class is to reserve and expected to use.
func (t *classTable) size(class int, declared structs.Resources) size {
	key := sizeKey{class, declared}
	s, found := t.sizes[key]
	if !found {
		name := t.names[class]
		s = size{reserve: t.estimates.Reserve(name, declared), usage: t.estimates.Usage(name, declared)}
		t.sizes[key] = s
	}
	return s
}

// service returns the number of a service class at a load band.
func (t *classTable) service(class, band int) int {
	key := serviceKey{class, band}
	number, found := t.services[key]
	if !found {
		number = len(t.keys)
		t.services[key] = number
		t.keys = append(t.keys, key)
		t.pairs = append(t.pairs, make([]pair, t.width))
	}
	return number
}

// pair returns the predicted effect of one task of the class on the service.
// It is small, so that the compiler can inline the common case.
func (t *classTable) pair(service, class int) *pair {
	p := &t.pairs[service][class]
	if !p.loaded {
		t.load(p, service, class)
	}
	return p
}

func (t *classTable) load(p *pair, service, class int) {
	key := t.keys[service]
	p.mean, p.deviation = t.estimates.Harm(t.names[key.class], t.names[class], key.band)
	p.loaded = true
}

// widen makes room for the class in the rows of every service.
func (t *classTable) widen(class int) {
	if class < t.width {
		return
	}
	t.width = 2 * (class + 1)
	for i, row := range t.pairs {
		t.pairs[i] = append(make([]pair, 0, t.width), row...)[:t.width]
	}
}
