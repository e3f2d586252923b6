package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"cyclamenwheel/internal/platform"
)

// FleetSpec describes a fleet: identical workers in every rack, and the entries.
type FleetSpec struct {
	Zones            []ZoneSpec  `json:"zones"`
	InstancesPerRack int         `json:"instances_per_rack"`
	Cores            float64     `json:"cores"`
	MemoryMB         int         `json:"memory_mb"`
	Accelerators     int         `json:"accelerators,omitempty"`
	Slots            int         `json:"slots"`
	Connections      int         `json:"connections"`
	IDPrefix         string      `json:"id_prefix"`
	Entries          []EntrySpec `json:"entries,omitempty"`
}

// ZoneSpec is one availability zone and its number of racks.
type ZoneSpec struct {
	Name  string `json:"name"`
	Racks int    `json:"racks"`
}

// EntrySpec is an instance of the system under test. The simulated platform only
// lists it.
type EntrySpec struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	Addr string `json:"addr"`
}

// ReadFleet reads a fleet description from a file.
func ReadFleet(path string) (FleetSpec, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return FleetSpec{}, &SpecError{Field: "file", Detail: err.Error()}
	}
	return ParseFleet(data)
}

// ParseFleet parses a fleet description and rejects unknown fields.
func ParseFleet(data []byte) (FleetSpec, error) {
	var spec FleetSpec
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&spec); err != nil {
		return FleetSpec{}, &SpecError{Field: "json", Detail: err.Error()}
	}
	if dec.More() {
		return FleetSpec{}, &SpecError{Field: "json", Detail: "trailing data after the description"}
	}
	return spec, spec.Validate()
}

// Validate reports the first invalid field of the description.
func (f FleetSpec) Validate() error {
	for _, check := range []struct {
		field string
		ok    bool
	}{
		{"zones", len(f.Zones) > 0},
		{"instances_per_rack", f.InstancesPerRack > 0},
		{"cores", f.Cores > 0},
		{"memory_mb", f.MemoryMB > 0},
		{"accelerators", f.Accelerators >= 0},
		{"slots", f.Slots > 0},
		{"connections", f.Connections > 0},
		{"id_prefix", f.IDPrefix != ""},
	} {
		if !check.ok {
			return &SpecError{Field: check.field, Detail: "missing or out of range"}
		}
	}
	return f.validateNames()
}

func (f FleetSpec) validateNames() error {
	zones := map[string]bool{}
	for i, z := range f.Zones {
		if z.Name == "" || z.Racks < 1 || zones[z.Name] {
			return &SpecError{Field: fmt.Sprintf("zones[%d]", i), Detail: "needs a unique name and at least one rack"}
		}
		zones[z.Name] = true
	}
	ids := map[string]bool{}
	for _, w := range f.workers() {
		ids[w.ID] = true
	}
	for i, e := range f.Entries {
		if e.ID == "" || ids[e.ID] || !zones[e.Zone] || e.Addr == "" {
			return &SpecError{Field: fmt.Sprintf("entries[%d]", i), Detail: "needs a unique id, a known zone and an addr"}
		}
		ids[e.ID] = true
	}
	return nil
}

// workers returns the worker instances, without addresses and boot ids.
func (f FleetSpec) workers() []platform.Instance {
	var out []platform.Instance
	for _, z := range f.Zones {
		for r := 1; r <= z.Racks; r++ {
			rack := fmt.Sprintf("%s-r%d", z.Name, r)
			for i := 1; i <= f.InstancesPerRack; i++ {
				out = append(out, platform.Instance{
					ID: fmt.Sprintf("%s%03d", f.IDPrefix, len(out)+1), Kind: platform.KindWorker,
					State: platform.StateLive, Zone: z.Name, Rack: rack,
					Cores: f.Cores, MemoryMB: f.MemoryMB, Accelerators: f.Accelerators,
					Slots: f.Slots, Connections: f.Connections,
				})
			}
		}
	}
	return out
}

func (f FleetSpec) entries() []platform.Instance {
	var out []platform.Instance
	for _, e := range f.Entries {
		out = append(out, platform.Instance{ID: e.ID, Kind: platform.KindEntry,
			State: platform.StateLive, Zone: e.Zone, Addr: e.Addr})
	}
	return out
}
