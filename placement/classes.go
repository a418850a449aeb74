package placement

import "github.com/daisywall/daisywall/structs"

// harmEstimate is the predicted harm of one task of a class to one service: the
// relative growth of the service's tail latency.
type harmEstimate struct {
	mean, deviation float64
	loaded          bool
}

type demandKey struct {
	class    int
	declared structs.Resources
}

type demand struct{ reserve, usage structs.Resources }

type serviceKey struct{ class, band int }

// classTable assigns a number to each class of a planning cycle and caches the
// estimates by these numbers.
type classTable struct {
	estimates      Estimates
	classNumbers   map[string]int // by class name
	classNames     []string       // by class number
	demands        map[demandKey]demand
	serviceNumbers map[serviceKey]int // by service class and load band
	serviceKeys    []serviceKey       // service class and load band by service number
	harms          [][]harmEstimate   // by service number, then class number
	rowLength      int                // length of the rows of harms
	lastName       string             // name of the most recent lookup, since equal classes follow each other
	lastClass      int                // class number of the most recent lookup, -1 until the first
}

// initialRowLength is the initial length of the rows of harms.
const initialRowLength = 64

func newClassTable(e Estimates) *classTable {
	return &classTable{
		estimates:      e,
		rowLength:      initialRowLength,
		classNumbers:   map[string]int{},
		demands:        map[demandKey]demand{},
		serviceNumbers: map[serviceKey]int{},
		lastClass:      -1,
	}
}

// class returns the number of the named class. A new class gets the next
// number.
func (t *classTable) class(name string) int {
	if t.lastClass >= 0 && t.lastName == name {
		return t.lastClass
	}
	number, found := t.classNumbers[name]
	if !found {
		number = len(t.classNames)
		t.classNumbers[name] = number
		t.classNames = append(t.classNames, name)
		t.growRows(number)
	}
	t.lastName, t.lastClass = name, number
	return number
}

// demand returns the resources that a task of the class reserves and the
// expected usage.
func (t *classTable) demand(class int, declared structs.Resources) demand {
	key := demandKey{class, declared}
	d, found := t.demands[key]
	if !found {
		name := t.classNames[class]
		d = demand{reserve: t.estimates.Reserve(name, declared), usage: t.estimates.Usage(name, declared)}
		t.demands[key] = d
	}
	return d
}

// service returns the number of a service class at a load band. A new service
// gets the next number.
func (t *classTable) service(class, band int) int {
	key := serviceKey{class, band}
	number, found := t.serviceNumbers[key]
	if !found {
		number = len(t.serviceKeys)
		t.serviceNumbers[key] = number
		t.serviceKeys = append(t.serviceKeys, key)
		t.harms = append(t.harms, make([]harmEstimate, t.rowLength))
	}
	return number
}

// harm returns the predicted harm of one task of the class to the service. It
// is small enough for the compiler to inline the cached case.
func (t *classTable) harm(service, class int) *harmEstimate {
	estimate := &t.harms[service][class]
	if !estimate.loaded {
		t.loadHarm(estimate, service, class)
	}
	return estimate
}

func (t *classTable) loadHarm(estimate *harmEstimate, service, class int) {
	key := t.serviceKeys[service]
	estimate.mean, estimate.deviation = t.estimates.Harm(t.classNames[key.class], t.classNames[class], key.band)
	estimate.loaded = true
}

// growRows extends the row of every service so that it includes the class.
func (t *classTable) growRows(class int) {
	if class < t.rowLength {
		return
	}
	t.rowLength = 2 * (class + 1)
	for i, row := range t.harms {
		t.harms[i] = append(make([]harmEstimate, 0, t.rowLength), row...)[:t.rowLength]
	}
}
