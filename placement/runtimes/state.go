package runtimes

import (
	"encoding/binary"
	"math"
	"slices"
	"strconv"

	"github.com/daisywall/daisywall/structs"
)

// Sizes of the stored form. A row of the table holds 64 KB.
const (
	maxStateBytes  = 48 << 10
	maxWorkerBytes = 16 << 10 // part of maxStateBytes that is used for workers first
	maxNameBytes   = 1 << 10
	stateVersion   = 1
)

// Encode returns the stored form of the model, of at most 48 KB. If the model does
// not fit, the least recently observed entries are left out, and so are names of
// more than 1 KB.
//
// The form is a version byte, the number of workers, the workers, the number of
// classes and the classes, each the least recently observed first. Numbers of
// entries and lengths of names are unsigned varints, other numbers are 32-bit
// floats in little-endian order.
func (m *Model) Encode() ([]byte, error) {
	data := append(make([]byte, 0, maxStateBytes), stateVersion)
	buffer := make([]byte, 0, 2*maxStateBytes)
	entry := func(names []byte, fields []*float64) []byte {
		start := len(buffer)
		buffer = appendFloats(names, fields)
		return buffer[start:]
	}
	workers := make([][]byte, 0, len(m.workers.entries))
	for id, w := range m.workers.all() {
		if len(id) > maxNameBytes {
			continue
		}
		workers = append(workers, entry(appendName(buffer, string(id)), w.stored()))
	}
	data = appendEntries(data, workers, maxWorkerBytes)
	classes := make([][]byte, 0, len(m.classes.entries))
	for class, c := range m.classes.all() {
		if max(len(class.Queue), len(class.Image)) > maxNameBytes {
			continue
		}
		names := appendName(appendName(buffer, string(class.Queue)), class.Image)
		classes = append(classes, entry(names, (&classRecord{runs: c.runs, failed: c.failed, measured: c.measured, closed: c.moments()}).stored()))
	}
	return appendEntries(data, classes, maxStateBytes), nil
}

// appendEntries appends the entries, of which the most recent is first, in reverse
// order, as many as fit into limit bytes.
func appendEntries(data []byte, entries [][]byte, limit int) []byte {
	size, count := len(data)+binary.MaxVarintLen64, 0
	for count < len(entries) && size+len(entries[count]) <= limit {
		size += len(entries[count])
		count++
	}
	data = binary.AppendUvarint(data, uint64(count))
	for _, e := range slices.Backward(entries[:count]) {
		data = append(data, e...)
	}
	return data
}

func appendName(data []byte, name string) []byte {
	return append(binary.AppendUvarint(data, uint64(len(name))), name...)
}

func appendFloats(data []byte, fields []*float64) []byte {
	for _, f := range fields {
		data = binary.LittleEndian.AppendUint32(data, math.Float32bits(float32(*f)))
	}
	return data
}

// stored returns the stored fields.
func (w *workerRecord) stored() []*float64 { return []*float64{&w.weight, &w.mean} }

// stored returns the stored fields.
func (c *classRecord) stored() []*float64 {
	m := &c.closed
	return []*float64{&c.runs, &c.failed, &c.measured, &m.weight, &m.meanX, &m.meanZ, &m.sumXX, &m.sumXZ, &m.sumZZ}
}

// Restore replaces the content of the model by a stored one. It returns
// *structs.InvalidError if the data are not a stored form, and the model then has
// no observations.
func (m *Model) Restore(data []byte) error {
	restored := New()
	if err := restored.decode(data); err != nil {
		*m = *New()
		return err
	}
	*m = *restored
	return nil
}

func (m *Model) decode(data []byte) error {
	d := decoder{left: data, size: len(data)}
	if len(data) > maxStateBytes {
		d.fail("size", "is at most 48 KB")
	}
	if version := d.bytes(1); d.err == nil && version[0] != stateVersion {
		d.fail("version", "is "+strconv.Itoa(stateVersion))
	}
	for range d.count(maxWorkers) {
		id := structs.WorkerID(d.name())
		w := workerRecord{}
		d.floats(w.stored())
		if !w.isValid() {
			d.fail("worker", "is within its limits")
		}
		if d.err != nil {
			return d.err
		}
		added := m.workers.add(id)
		m.usual.add(added, -1) // in case that a damaged row names a worker twice
		*added = w
		m.usual.add(added, 1)
	}
	for range d.count(maxClasses) {
		class := Class{Queue: structs.QueueID(d.name()), Image: d.name()}
		c := classRecord{}
		d.floats(c.stored())
		if !c.isValid() {
			d.fail("class", "is within its limits")
		}
		if d.err != nil {
			return d.err
		}
		*m.classes.add(class) = c
	}
	if len(d.left) > 0 {
		d.fail("end", "is the end of the data")
	}
	return d.err
}

// isValid reports whether observations can lead to the record. NaN fails all
// comparisons.
func (w *workerRecord) isValid() bool {
	return w.weight >= 0 && w.weight <= workerMemory && math.Abs(w.mean) <= maxLogSpeed
}

// isValid reports whether observations can lead to the record, with a margin for
// rounding.
func (c *classRecord) isValid() bool {
	const margin = 1.01
	maxLog := math.Log(maxRunTime.Seconds()) + maxLogSpeed + outlierLimit + firstOutlierLimit
	maxSquares := 4 * maxLog * maxLog * classMemory
	m := &c.closed
	return c.runs >= 0 && c.runs <= runMemory*margin && c.failed >= 0 && c.failed <= c.runs*margin &&
		c.measured >= 0 && c.measured <= c.runs*margin &&
		m.weight >= 0 && m.weight <= classMemory*margin && (m.weight == 0 || c.measured > 0) &&
		math.Abs(m.meanX) <= 2*maxLog && math.Abs(m.meanZ) <= 2*maxLog &&
		m.sumXX >= 0 && m.sumXX <= maxSquares && m.sumZZ >= 0 && m.sumZZ <= maxSquares && math.Abs(m.sumXZ) <= maxSquares
}

// decoder reads a stored form. After an error, all reads return zero values.
type decoder struct {
	left []byte
	size int
	err  error
}

func (d *decoder) fail(path, rule string) {
	if d.err == nil {
		offset := "offset " + strconv.Itoa(d.size-len(d.left))
		d.err = &structs.InvalidError{Subject: "run time model", Faults: []structs.Fault{{Path: path, Rule: rule, Value: offset}}}
	}
	d.left = nil
}

func (d *decoder) bytes(n int) []byte {
	if d.err != nil || n > len(d.left) {
		d.fail("data", "is complete")
		return make([]byte, n)
	}
	taken := d.left[:n]
	d.left = d.left[n:]
	return taken
}

// count reads a number of at most limit.
func (d *decoder) count(limit int) int {
	n, size := binary.Uvarint(d.left)
	if d.err != nil || size <= 0 || n > uint64(limit) {
		d.fail("number", "is at most "+strconv.Itoa(limit))
		return 0
	}
	d.left = d.left[size:]
	return int(n)
}

func (d *decoder) name() string { return string(d.bytes(d.count(maxNameBytes))) }

func (d *decoder) floats(fields []*float64) {
	for _, f := range fields {
		*f = float64(math.Float32frombits(binary.LittleEndian.Uint32(d.bytes(4))))
	}
}
