package boxplan

// IssuedOrders returns the issued orders whose effects have not been seen yet, by the name of the box.
func (p *Planner) IssuedOrders() map[string]Order {
	orders := map[string]Order{}
	for _, b := range p.boxesByName {
		if b.issued != nil {
			orders[b.info.Name] = b.issued.Order
		}
	}
	return orders
}
