package httplimit

import "testing"

func TestSharesOfAHost(t *testing.T) {
	for _, c := range []struct {
		name       string
		host       Host
		main, side Limits
	}{
		{"few descriptors", Host{MemoryBytes: 284 << 20, Sockets: 3900}, Limits{2925, 71 << 20, 71 << 19}, Limits{243, 71 << 17, 71 << 17}},
		{"little memory", Host{MemoryBytes: 64 << 20, Sockets: 3900}, Limits{1024, 16 << 20, 8 << 20}, Limits{128, 2 << 20, 2 << 20}},
		{"very few descriptors", Host{MemoryBytes: 64 << 20, Sockets: 64}, Limits{48, 16 << 20, 8 << 20}, Limits{8, 2 << 20, 2 << 20}},
	} {
		if main, side := c.host.Main(), c.host.Side(); main != c.main || side != c.side {
			t.Errorf("%s: %+v, %+v; want %+v, %+v", c.name, main, side, c.main, c.side)
		}
	}
	if unknown := (Host{}).Main(); unknown.Connections < 100 || unknown.RequestBytes != defaultMemoryBytes/4 {
		t.Errorf("unknown host: %+v", unknown)
	}
}
