package check

import (
	"fmt"
	"slices"
	"strconv"

	"damsonwinch/pkg/settings"
)

// crossCheck returns the faults that show only in several fields together: duplicate
// names, and names of availability zones or pools that the value doesn't declare. value
// is a pointer to decoded settings; other values have no such faults.
func crossCheck(value any) []Fault {
	switch file := value.(type) {
	case *settings.Keeper:
		return peerFaults("peers", file.Peers, file.Hall, file.Halls)
	case *settings.Entry:
		return peerFaults("keepers", file.Keepers, file.Hall, file.Halls)
	case *settings.Table:
		return tableFaults(file)
	case *settings.Fleet:
		return fleetFaults(file)
	}
	return nil
}

// peerFaults returns the faults of a process's own zone and of the peers listed under a
// key: duplicate peers, and zones that aren't among the deployment's zones.
func peerFaults(key string, peers []settings.Peer, zone string, zones []string) []Fault {
	var found []Fault
	if len(zones) > 0 && !slices.Contains(zones, zone) {
		found = append(found, Fault{Path: []string{"hall"}, Problem: unknownZone(zone, zones)})
	}
	seen := map[string]bool{}
	for i, peer := range peers {
		if seen[peer.Node] {
			found = append(found, Fault{Path: []string{key, strconv.Itoa(i), "node"}, Problem: duplicateName(peer.Node)})
		}
		seen[peer.Node] = true
		if !slices.Contains(zones, peer.Hall) {
			found = append(found, Fault{Path: []string{key, strconv.Itoa(i), "hall"}, Problem: unknownZone(peer.Hall, zones)})
		}
	}
	return found
}

func tableFaults(file *settings.Table) []Fault {
	var found []Fault
	seen := map[string]bool{}
	for i, service := range file.Services {
		if seen[service.Service] {
			found = append(found, Fault{Path: []string{"services", strconv.Itoa(i), "service"}, Problem: duplicateName(service.Service)})
		}
		seen[service.Service] = true
		if !slices.Contains(file.Deployment.Pools, service.Row.Pool) {
			found = append(found, Fault{
				Path:    []string{"services", strconv.Itoa(i), "row", "pool"},
				Problem: fmt.Sprintf("unknown pool %q; allowed: %v", service.Row.Pool, file.Deployment.Pools),
			})
		}
	}
	return found
}

func fleetFaults(file *settings.Fleet) []Fault {
	var found []Fault
	seen := map[string]bool{}
	for i, zone := range file.Halls {
		if seen[zone.Name] {
			found = append(found, Fault{Path: []string{"halls", strconv.Itoa(i), "name"}, Problem: duplicateName(zone.Name)})
		}
		seen[zone.Name] = true
	}
	return found
}

func duplicateName(name string) string {
	return fmt.Sprintf("name %q stands twice; every name once", name)
}

func unknownZone(zone string, zones []string) string {
	return fmt.Sprintf("unknown hall %q; allowed: %v", zone, zones)
}
