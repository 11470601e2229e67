package command

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/spf13/cobra"

	"damsonwinch/pkg/check"
	"damsonwinch/pkg/fakes"
	"damsonwinch/pkg/settings"
	"damsonwinch/pkg/trial"
	"damsonwinch/pkg/wire"
)

// rebootTimeout limits how long a stand-in endpoint may take to reboot.
const rebootTimeout = time.Minute

func trialPlatform() *cobra.Command {
	return &cobra.Command{
		Use:   "platform FLEET-FILE",
		Short: "Serve the stand-in platform: its log, its list and its box control",
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var fleet settings.Fleet
			if err := readSettings(check.Fleet, args[0], &fleet); err != nil {
				return err
			}
			listener, err := net.Listen("tcp", fleet.Platform)
			if err != nil {
				return fmt.Errorf("listen at %s: %w", fleet.Platform, err)
			}
			boxes, err := trial.EndpointBoxes(fleet)
			if err != nil {
				return err
			}
			platform := newPlatform(fleet, boxes)
			platform.Serve(listener)
			_, _ = fmt.Fprintf(cmd.OutOrStdout(), "platform at %s lists %d boxes\n", fleet.Platform, len(boxes))
			<-cmd.Context().Done()
			platform.Close()
			return nil
		},
	}
}

// newPlatform returns a stand-in platform that lists the boxes of endpoints and the fleet's entry boxes.
func newPlatform(fleet settings.Fleet, boxes []wire.BoxInfo) *fakes.Platform {
	clock := clockwork.NewRealClock()
	addresses := map[string]string{}
	platform := fakes.NewPlatform(clock, fakes.NewLog(clock, 1, 0), func(ctx context.Context, box string) error {
		return requestReboot(ctx, addresses[box])
	})
	for _, info := range boxes {
		addresses[info.Name] = info.Address
		platform.PutBox(wire.ListedBox{Info: info})
	}
	for _, info := range trial.EntryBoxes(fleet) {
		platform.PutBox(wire.ListedBox{Info: info, EntryBox: true})
	}
	return platform
}

// requestReboot asks the stand-in endpoint at an address, which runs in another process, to reboot.
func requestReboot(ctx context.Context, address string) error {
	limited, cancel := context.WithTimeout(ctx, rebootTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(limited, http.MethodPost, "http://"+address+"/reboot", nil)
	if err != nil {
		return fmt.Errorf("reboot %s: %w", address, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("reboot %s: %w", address, err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("reboot %s: status %d", address, response.StatusCode)
	}
	return nil
}

func trialEndpoints() *cobra.Command {
	return &cobra.Command{
		Use:   "endpoints FLEET-FILE",
		Short: "Serve the stand-in endpoints of a fleet",
		Args:  exactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var fleet settings.Fleet
			if err := readSettings(check.Fleet, args[0], &fleet); err != nil {
				return err
			}
			boxes, err := trial.EndpointBoxes(fleet)
			if err != nil {
				return err
			}
			endpoints, err := serveEndpoints(boxes)
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintf(cmd.OutOrStdout(), "%d endpoints from %s on\n", len(endpoints), fleet.Endpoints)
			<-cmd.Context().Done()
			for _, endpoint := range endpoints {
				endpoint.Close()
			}
			return nil
		},
	}
}

// serveEndpoints starts a stand-in endpoint for each box.
func serveEndpoints(boxes []wire.BoxInfo) ([]*fakes.Endpoint, error) {
	clock, observations := clockwork.NewRealClock(), fakes.NewObservations()
	var endpoints []*fakes.Endpoint
	for _, info := range boxes {
		if _, err := netip.ParseAddrPort(info.Address); err != nil {
			return nil, fmt.Errorf("address of %s: %w", info.Name, err)
		}
		listener, err := net.Listen("tcp", info.Address)
		if err != nil {
			return nil, fmt.Errorf("listen at %s: %w", info.Address, err)
		}
		endpoints = append(endpoints, fakes.NewEndpoint(info.Name, clock, listener, observations, func(service string) string { return service }))
	}
	return endpoints, nil
}
