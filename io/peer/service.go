package peer

import "tarragonwalk/core/message"

// service holds the methods that net/rpc serves.
type service struct {
	node *Node
}

// Exchange answers the periodic exchange message.
func (s *service) Exchange(m *message.Exchange, reply *message.Exchange) error {
	*reply = *s.node.handler.HandleExchange(m)

	return nil
}

// Configuration answers with the configuration in force.
func (s *service) Configuration(m *message.ConfigurationRequest, reply *message.ConfigurationReply) error {
	r, err := s.node.handler.HandleConfiguration(m)
	if err != nil {
		return err
	}
	*reply = *r

	return nil
}

// Online accepts changed in-flight counts and returns those of the other instances.
func (s *service) Online(m *message.OnlineNotice, reply *message.Ack) error {
	reply.Sender = s.node.name
	reply.Others = s.node.handler.HandleOnline(m)

	return nil
}
