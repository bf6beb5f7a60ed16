package z3950

import (
	"rooktrestle/internal/gateway"
	"rooktrestle/internal/protocol/z3950"
)

// update handles an extended services request. Only a database update of one record is supported.
func (a *association) update(pdu *z3950.Node) {
	operation := newOperation(pdu)
	request, problem := z3950.ParseUpdate(pdu)
	if problem != nil {
		a.fail(operation, diagnostic{problem.Bib1, problem.Details})
		return
	}
	a.start(operation, func(done func(gateway.Outcome)) (gateway.Cancel, *gateway.Outcome) {
		return a.server.Service.Correct(a.caller(), request.Database, request.Action, request.Record, done)
	}, func(outcome gateway.Outcome) {
		if outcome.Kind != gateway.Complete {
			a.fail(operation, diagnosticOf(outcome))
			return
		}
		a.send(z3950.Constructed(z3950.EsResponse,
			operation.referenceID,
			z3950.Integer(z3950.FieldEsOperationStatus, operationStatusDone)))
	})
}
