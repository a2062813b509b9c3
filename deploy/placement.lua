-- Where new flows go. Back ends of the daemon's own zone get eight times the flows of others: bytes
-- between zones cost, and a packet saves a trip. Others still get some, so that a zone with many
-- callers and few back ends spills over.
function place(flow_class, backend)
  if backend.same_zone then
    return 800
  end
  return 100
end
