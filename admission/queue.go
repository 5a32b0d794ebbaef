package admission

import "container/list"

// queue holds the waiting calls of one class and hands them out in turn
// between callers, each caller's in the order of their coming.
type queue struct {
	limits QueueLimits
	// length is the number of waiting calls.
	length int
	// turns holds a *callerQueue for each caller that has a call waiting.
	turns   *list.List
	callers map[string]*list.Element
}

type callerQueue struct {
	caller string
	// waiting holds *Ticket; never empty.
	waiting *list.List
}

func newQueue(limits QueueLimits) *queue {
	return &queue{limits: limits, turns: list.New(), callers: make(map[string]*list.Element)}
}

func (q *queue) push(t *Ticket) {
	turn, ok := q.callers[t.request.Caller]
	if !ok {
		turn = q.turns.PushBack(&callerQueue{caller: t.request.Caller, waiting: list.New()})
		q.callers[t.request.Caller] = turn
	}
	t.element = callerOf(turn).waiting.PushBack(t)
	q.length++
}

func (q *queue) pop() *Ticket {
	turn := q.turns.Front()
	if turn == nil {
		return nil
	}
	t, ok := callerOf(turn).waiting.Front().Value.(*Ticket)
	if !ok {
		panic("admission: a queue holds something other than a ticket")
	}
	q.turns.MoveToBack(turn)
	q.remove(t)
	return t
}

func (q *queue) remove(t *Ticket) {
	turn := q.callers[t.request.Caller]
	c := callerOf(turn)
	c.waiting.Remove(t.element)
	q.length--
	if c.waiting.Len() == 0 {
		q.turns.Remove(turn)
		delete(q.callers, c.caller)
	}
}

func (q *queue) tickets() []*Ticket {
	tickets := make([]*Ticket, 0, q.length)
	for turn := q.turns.Front(); turn != nil; turn = turn.Next() {
		for e := callerOf(turn).waiting.Front(); e != nil; e = e.Next() {
			if t, ok := e.Value.(*Ticket); ok {
				tickets = append(tickets, t)
			}
		}
	}
	return tickets
}

func callerOf(turn *list.Element) *callerQueue {
	c, ok := turn.Value.(*callerQueue)
	if !ok {
		panic("admission: a turn holds something other than a caller's queue")
	}
	return c
}
