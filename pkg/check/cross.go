package check

import (
	"fmt"
	"slices"
	"strconv"

	"damsonwinch/pkg/settings"
)

// crossCheck finds what one field alone can't show: names that stand twice and
// halls that the deployment doesn't have.
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

func peerFaults(field string, peers []settings.Peer, hall string, halls []string) []Fault {
	var found []Fault
	if len(halls) > 0 && !slices.Contains(halls, hall) {
		found = append(found, Fault{Path: []string{"hall"}, Problem: unknownHall(hall, halls)})
	}
	seen := map[string]bool{}
	for i, peer := range peers {
		if seen[peer.Node] {
			found = append(found, Fault{Path: []string{field, strconv.Itoa(i), "node"}, Problem: twice(peer.Node)})
		}
		seen[peer.Node] = true
		if !slices.Contains(halls, peer.Hall) {
			found = append(found, Fault{Path: []string{field, strconv.Itoa(i), "hall"}, Problem: unknownHall(peer.Hall, halls)})
		}
	}
	return found
}

func tableFaults(file *settings.Table) []Fault {
	var found []Fault
	seen := map[string]bool{}
	for i, service := range file.Services {
		if seen[service.Service] {
			found = append(found, Fault{Path: []string{"services", strconv.Itoa(i), "service"}, Problem: twice(service.Service)})
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
	for i, hall := range file.Halls {
		if seen[hall.Name] {
			found = append(found, Fault{Path: []string{"halls", strconv.Itoa(i), "name"}, Problem: twice(hall.Name)})
		}
		seen[hall.Name] = true
	}
	return found
}

func twice(name string) string {
	return fmt.Sprintf("name %q stands twice; every name once", name)
}

func unknownHall(hall string, halls []string) string {
	return fmt.Sprintf("unknown hall %q; allowed: %v", hall, halls)
}
