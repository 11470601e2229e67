package loadtest

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"damsonwinch/pkg/trial"
)

// BenchmarkCalls compares direct requests to an endpoint with requests through an
// entry and through the plain gateway.
func BenchmarkCalls(b *testing.B) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	user, err := loadUser()
	assert.NilError(b, err)
	cluster, err := trial.NewReadyCluster(context.Background(), user, 1, logger)
	assert.NilError(b, err)
	defer func() { assert.NilError(b, cluster.Close()) }()
	gateway, err := startPlainGateway(cluster)
	assert.NilError(b, err)
	defer gateway.close()
	options := Options{Clock: clockwork.NewRealClock()}
	for name, url := range map[string]string{
		"direct": gateway.boxes[0].address + "/run/", "entry": cluster.ReadyAddresses()[0] + "/v1/run/", "plain": gateway.address + "/v1/run/",
	} {
		b.Run(name, func(b *testing.B) {
			client := newClient(1)
			defer client.CloseIdleConnections()
			for count := 0; b.Loop(); count++ {
				status, _ := sendWithoutWork(options, client, "http://"+url+service, fmt.Sprint(name, count))
				assert.Equal(b, status, http.StatusOK)
			}
		})
	}
}
