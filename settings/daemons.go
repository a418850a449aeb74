package settings

import (
	_ "embed" // schemas
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/daisywall/daisywall/httplimit"
	"github.com/daisywall/daisywall/structs"
)

//go:embed schema/entry.json
var entrySchema []byte

//go:embed schema/agent.json
var agentSchema []byte

//go:embed schema/standin.json
var standInSchema []byte

// Schemas of the daemons' settings.
var (
	EntrySchema   = MustCompile("entry settings", entrySchema)
	AgentSchema   = MustCompile("agent settings", agentSchema)
	StandInSchema = MustCompile("stand-in settings", standInSchema)
)

// Defaults of optional settings.
const (
	defaultPlatformTimeoutMS = 1000
	defaultDrainMS           = 2000
	defaultEvacuateMS        = 30_000
	defaultLogLevel          = "info"
	defaultSlots             = 8
	defaultConnections       = 60
	maxPort                  = 65535
)

// Platform holds the address of the platform's services and the timeout of
// calls to them.
type Platform struct {
	Address   string `json:"address"`
	TimeoutMS int64  `json:"timeout_ms"`
}

// Timeout returns the longest wait for one call.
func (p Platform) Timeout() time.Duration { return time.Duration(p.TimeoutMS) * time.Millisecond }

func (p *Platform) setDefaults() {
	if p.TimeoutMS == 0 {
		p.TimeoutMS = defaultPlatformTimeoutMS
	}
}

// HostLimits holds what the host gives a daemon. Zero fields are not known.
type HostLimits struct {
	MemoryMB       int64 `json:"memory_mb"`
	MaxDescriptors int   `json:"max_descriptors"`
}

// Host returns the limits for the servers of the daemon. A tenth of the
// descriptors is left to files.
func (l HostLimits) Host() httplimit.Host {
	return httplimit.Host{MemoryBytes: l.MemoryMB << 20, Sockets: l.MaxDescriptors / 10 * 9}
}

// Entry holds the settings of daisywall-entry.
type Entry struct {
	Entry         structs.EntryID         `json:"entry"`
	FailureDomain structs.FailureDomainID `json:"failure_domain"`
	HTTPAddress   string                  `json:"http_address"`
	PeerAddress   string                  `json:"peer_address"`
	Platform      Platform                `json:"platform"`
	DrainMS       *int64                  `json:"drain_ms"`
	Limits        HostLimits              `json:"limits"`
	Entries       []string                `json:"entries"`
	LogLevel      string                  `json:"log_level"`
}

// Drain returns how long the entry continues to accept requests after its load
// balancer check has started to fail.
func (e Entry) Drain() time.Duration { return time.Duration(*e.DrainMS) * time.Millisecond }

// Agent holds the settings of daisywall-agent.
type Agent struct {
	Worker           structs.WorkerID        `json:"worker"`
	FailureDomain    structs.FailureDomainID `json:"failure_domain"`
	Rack             string                  `json:"rack"`
	Cell             structs.CellID          `json:"cell"`
	LocalAddress     string                  `json:"local_address"`
	PeerAddress      string                  `json:"peer_address"`
	AdvertiseAddress string                  `json:"advertise_address"`
	Platform         Platform                `json:"platform"`
	Capacity         structs.Resources       `json:"capacity"`
	Entries          []string                `json:"entries"`
	EvacuateMS       *int64                  `json:"evacuate_ms"`
	Limits           HostLimits              `json:"limits"`
	LogLevel         string                  `json:"log_level"`
}

// Evacuate returns how long a planned stop waits until the tasks of the host
// have been moved to other hosts. Zero leaves the tasks to the next agent of
// the host.
func (a Agent) Evacuate() time.Duration { return time.Duration(*a.EvacuateMS) * time.Millisecond }

// StandIn holds the settings of daisywall-standin.
type StandIn struct {
	Address        string          `json:"address"`
	ControlAddress string          `json:"control_address"`
	Workers        []StandInWorker `json:"workers"`
	Targets        []StandInTarget `json:"targets"`
	LogLevel       string          `json:"log_level"`
}

// StandInWorker is one worker runtime that the stand-in serves.
type StandInWorker struct {
	Worker   structs.WorkerID  `json:"worker"`
	Capacity structs.Resources `json:"capacity"`
}

// StandInTarget is one sample target that the stand-in runs.
type StandInTarget struct {
	Target        structs.TargetID `json:"target"`
	Team          structs.TeamID   `json:"team"`
	Kinds         []string         `json:"kinds"`
	Address       string           `json:"address"`
	Agent         string           `json:"agent"`
	Slots         int              `json:"slots"`
	Connections   int              `json:"connections"`
	ServiceTimeMS int64            `json:"service_time_ms"`
}

// ServiceTime returns how long the target processes one request.
func (t StandInTarget) ServiceTime() time.Duration {
	return time.Duration(t.ServiceTimeMS) * time.Millisecond
}

// DecodeEntry validates the settings of an entry and fills in the defaults.
func DecodeEntry(data []byte) (Entry, error) {
	var e Entry
	if err := EntrySchema.Decode(data, &e); err != nil {
		return Entry{}, err
	}
	e.Platform.setDefaults()
	setDefaultMS(&e.DrainMS, defaultDrainMS)
	e.LogLevel = logLevelOrDefault(e.LogLevel)
	return e, checkAddresses(EntrySchema, map[string]string{
		"/http_address":     e.HTTPAddress,
		"/peer_address":     e.PeerAddress,
		"/platform/address": e.Platform.Address,
	})
}

// DecodeAgent validates the settings of an agent and fills in the defaults.
func DecodeAgent(data []byte) (Agent, error) {
	var a Agent
	if err := AgentSchema.Decode(data, &a); err != nil {
		return Agent{}, err
	}
	a.Platform.setDefaults()
	if a.Cell == "" {
		a.Cell = structs.CellID(a.FailureDomain)
	}
	if a.AdvertiseAddress == "" {
		a.AdvertiseAddress = a.PeerAddress
	}
	setDefaultMS(&a.EvacuateMS, defaultEvacuateMS)
	a.LogLevel = logLevelOrDefault(a.LogLevel)
	return a, checkAddresses(AgentSchema, map[string]string{
		"/local_address":     a.LocalAddress,
		"/peer_address":      a.PeerAddress,
		"/advertise_address": a.AdvertiseAddress,
		"/platform/address":  a.Platform.Address,
	})
}

// DecodeStandIn validates the settings of a stand-in and fills in the defaults.
func DecodeStandIn(data []byte) (StandIn, error) {
	var s StandIn
	if err := StandInSchema.Decode(data, &s); err != nil {
		return StandIn{}, err
	}
	addresses := map[string]string{"/address": s.Address, "/control_address": s.ControlAddress}
	for i := range s.Targets {
		t := &s.Targets[i]
		if t.Slots == 0 {
			t.Slots = defaultSlots
		}
		if t.Connections == 0 {
			t.Connections = defaultConnections
		}
		addresses[fmt.Sprintf("/targets/%d/address", i)] = t.Address
		addresses[fmt.Sprintf("/targets/%d/agent", i)] = t.Agent
	}
	s.LogLevel = logLevelOrDefault(s.LogLevel)
	return s, checkAddresses(StandInSchema, addresses)
}

func setDefaultMS(field **int64, value int64) {
	if *field == nil {
		*field = &value
	}
}

func logLevelOrDefault(level string) string {
	if level == "" {
		return defaultLogLevel
	}
	return level
}

// checkAddresses checks that every address consists of an IP address and a
// port, because the processes connect to each other without name resolution.
func checkAddresses(schema *Schema, addressesByPath map[string]string) error {
	var faults []structs.Fault
	for path, address := range addressesByPath {
		ip, port, err := net.SplitHostPort(address)
		portNumber, portErr := strconv.Atoi(port)
		if err != nil || net.ParseIP(ip) == nil || portErr != nil || portNumber > maxPort {
			faults = append(faults, structs.Fault{Path: path, Value: address, Rule: "must be an IP address and a port"})
		}
	}
	if len(faults) == 0 {
		return nil
	}
	sortFaults(faults)
	return schema.invalidError(faults...)
}
