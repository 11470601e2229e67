package process

import (
	"sync"

	"damsonwinch"
	"damsonwinch/pkg/customer"
	"damsonwinch/platform"
)

// clientConfiguration passes configurations on to the handler of clients' calls. A node may put its first
// one in force before the handler exists; that one is kept for it.
type clientConfiguration struct {
	mutex sync.Mutex
	// handler is nil before attach.
	handler *platform.ClientHandler
	// configuration and customers are the newest ones that came before the handler, if any did.
	configuration damsonwinch.Configuration
	customers     *customer.Index
	pending       bool
}

// put puts a configuration in force, now or once there is a handler.
func (c *clientConfiguration) put(configuration damsonwinch.Configuration, customers *customer.Index) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.handler == nil {
		c.configuration, c.customers, c.pending = configuration, customers, true
		return
	}
	c.handler.Configure(configuration, customers)
}

// attach sets the handler and puts in force there what came before it.
func (c *clientConfiguration) attach(handler *platform.ClientHandler) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.handler = handler
	if c.pending {
		handler.Configure(c.configuration, c.customers)
		c.pending = false
	}
}
