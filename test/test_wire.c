#include "core_fixture.h"

/* Guards against a header that another implementation of the PROXY protocol
   would not read: bytes from section 2.2 of its text.  */
START_TEST (test_proxy_bytes)
{
  static const uint8_t expected[AM_PROXY_HEADER_SIZE]
      = { 0x0d, 0x0a, 0x0d, 0x0a, 0x00, 0x0d, 0x0a, 0x51, 0x55, 0x49,
          0x54, 0x0a, 0x21, 0x12, 0x00, 0x0c, 0x7f, 0x28, 0x06, 0x01,
          0x7f, 0x28, 0x09, 0x01, 0x15, 0xb3, 0x1f, 0x41 };
  struct am_proxy_header h = { fixture_caller, fixture_service };
  struct am_proxy_header back;
  uint8_t buf[AM_PROXY_HEADER_SIZE];
  size_t used;

  am_proxy_encode (&h, buf);
  ck_assert_mem_eq (buf, expected, sizeof expected);
  ck_assert_int_eq (am_proxy_decode (&back, buf, sizeof buf, &used), AM_OK);
  ck_assert_uint_eq (used, sizeof buf);
  ck_assert (am_address_equal (back.source, h.source));
  ck_assert (am_address_equal (back.destination, h.destination));
}
END_TEST

/* Guards against reads past the end and against type-length-value fields taken
   for payload.  */
START_TEST (test_proxy_lengths)
{
  struct am_proxy_header h = { fixture_caller, fixture_service };
  uint8_t buf[AM_PROXY_HEADER_SIZE + 7] = { 0 };
  size_t used;

  am_proxy_encode (&h, buf);
  for (size_t len = 0; len < AM_PROXY_HEADER_SIZE; len++)
    ck_assert_int_eq (am_proxy_decode (&h, buf, len, &used), AM_E_SHORT);
  buf[15] = 19;
  ck_assert_int_eq (am_proxy_decode (&h, buf, sizeof buf, &used), AM_OK);
  ck_assert_uint_eq (used, sizeof buf);
  ck_assert_int_eq (am_proxy_decode (&h, buf, sizeof buf - 1, &used),
                    AM_E_SHORT);
  buf[15] = 11;
  ck_assert_int_eq (am_proxy_decode (&h, buf, sizeof buf, &used), AM_E_FORMAT);
  buf[15] = 12;
  buf[12] = 0x11;
  ck_assert_int_eq (am_proxy_decode (&h, buf, sizeof buf, &used),
                    AM_E_VERSION);
  buf[12] = 0x21;
  buf[13] = 0x11;
  ck_assert_int_eq (am_proxy_decode (&h, buf, sizeof buf, &used), AM_E_FORMAT);
}
END_TEST

/* Guards against fields that change on the way, for every type and with or
   without a ticket.  */
START_TEST (test_packet_round_trip)
{
  uint8_t ticket[AM_TICKET_SIZE] = { 1, 2, 3 };
  uint8_t buf[AM_PACKET_SIZE_MAX];

  for (uint8_t type = AM_PACKET_OPEN; type <= AM_PACKET_REPORT; type++)
    for (int with = 0; with < 2; with++)
      {
        struct am_packet p = { .type = type,
                               .connection_id = 0x123456789abcdef0u,
                               .sequence = 0xfedcba98u,
                               .ticket = with ? ticket : NULL,
                               .body = (const uint8_t *)"body",
                               .body_len = 4 };
        struct am_packet back;
        size_t len;

        ck_assert_int_eq (am_packet_encode (&p, buf, sizeof buf, &len), AM_OK);
        ck_assert_int_eq (am_packet_decode (&back, buf, len), AM_OK);
        ck_assert_uint_eq (back.type, type);
        ck_assert_uint_eq (back.connection_id, p.connection_id);
        ck_assert_uint_eq (back.sequence, p.sequence);
        ck_assert_uint_eq (back.body_len, 4);
        ck_assert_mem_eq (back.body, "body", 4);
        ck_assert_int_eq (back.ticket != NULL, with);
        for (size_t cut = 0; cut < len; cut++)
          ck_assert_int_lt (am_packet_decode (&back, buf, cut), 0);
        ck_assert_int_lt (am_packet_decode (&back, buf, len + 1), 0);
      }
}
END_TEST

/* Guards against bodies that are read past their end or with values out of
   range.  */
START_TEST (test_packet_bodies)
{
  uint8_t buf[16] = { 0 };
  struct am_open_body open;
  struct am_outcome_body outcome;
  struct am_segment_body segment;
  struct am_request_body request = { 5, 1ull << 63 };
  struct am_request_body back;

  buf[0] = 2;
  ck_assert_int_eq (am_open_body_decode (&open, buf, 2), AM_E_FORMAT);
  buf[0] = 1;
  ck_assert_int_eq (am_open_body_decode (&open, buf, 2), AM_OK);
  ck_assert_int_eq (am_open_body_decode (&open, buf, 1), AM_E_SHORT);
  buf[0] = 3;
  ck_assert_int_eq (am_outcome_body_decode (&outcome, buf, 5), AM_E_FORMAT);
  buf[0] = 1;
  buf[1] = 1;
  ck_assert_int_eq (am_segment_body_decode (&segment, buf, 6), AM_E_FORMAT);
  buf[1] = AM_SEGMENTS_MAX + 1;
  ck_assert_int_eq (am_segment_body_decode (&segment, buf, 6), AM_E_FORMAT);
  am_request_body_encode (&request, buf);
  ck_assert_int_eq (am_request_body_decode (&back, buf, 12), AM_OK);
  ck_assert_uint_eq (back.received, request.received);
  ck_assert_int_eq (am_request_body_decode (&back, buf, 11), AM_E_SHORT);
}
END_TEST

/* Guards against an answer above 64 KiB whose 16-bit length wraps.  */
START_TEST (test_stream_packet)
{
  static uint8_t answer[AM_ANSWER_SIZE_MAX];
  static uint8_t buf[AM_STREAM_PREFIX_SIZE + AM_STREAM_PACKET_MAX];
  struct am_packet p = { .type = AM_PACKET_ANSWER,
                         .body = answer,
                         .body_len = sizeof answer };
  struct am_packet back;
  const uint8_t *packet;
  size_t packet_len;
  size_t used;
  size_t len;

  ck_assert_int_eq (am_packet_encode (&p, buf + AM_STREAM_PREFIX_SIZE,
                                      AM_STREAM_PACKET_MAX, &len),
                    AM_OK);
  am_put_u32 (buf, (uint32_t)len);
  ck_assert_int_eq (am_stream_split (buf, len, &packet, &packet_len, &used),
                    AM_E_SHORT);
  len += AM_STREAM_PREFIX_SIZE;
  ck_assert_int_eq (am_stream_split (buf, len, &packet, &packet_len, &used),
                    AM_OK);
  ck_assert_int_eq (am_packet_decode_stream (&back, packet, packet_len),
                    AM_OK);
  ck_assert_uint_eq (back.body_len, sizeof answer);
  am_put_u32 (buf, AM_STREAM_PACKET_MAX + 1);
  ck_assert_int_eq (am_stream_split (buf, len, &packet, &packet_len, &used),
                    AM_E_TOO_LARGE);
}
END_TEST

/* Guards against an age that is stated too young, and against a class id that
   an age changes.  */
START_TEST (test_request_age)
{
  uint32_t age_ms;

  ck_assert (!am_request_age (&age_ms, 255));
  for (uint64_t age_us = 0; age_us < 20000000; age_us += 777)
    {
      uint32_t sequence = am_request_sequence (200, age_us);

      ck_assert_uint_eq (sequence & 0xff, 200);
      ck_assert (am_request_age (&age_ms, sequence));
      ck_assert_uint_ge ((uint64_t)age_ms * 1000, age_us);
      ck_assert_uint_lt ((uint64_t)age_ms * 1000, age_us + 1000);
    }
  ck_assert (am_request_age (&age_ms, am_request_sequence (0, UINT64_MAX)));
  ck_assert_uint_eq (age_ms, AM_REQUEST_AGE_MAX_MS);
}
END_TEST

/* Guards against a ticket accepted with any bit or any part of its scope
   changed.  */
START_TEST (test_ticket_mac)
{
  uint8_t key[AM_TICKET_KEY_SIZE] = { 4 };
  uint8_t buf[AM_TICKET_SIZE];
  struct am_ticket t = { .kind = AM_OPEN_REQUEST,
                         .key_id = 3,
                         .service_id = 77,
                         .issuer_id = 2,
                         .issuer_boot_id = 99,
                         .serial = 1ull << 40,
                         .issued_ms = 12 };
  struct am_ticket_scope scope = { 0x7f000001, fixture_service, 8 };
  struct am_ticket_scope other;
  struct am_ticket back;

  am_ticket_seal (&t, &scope, key, buf);
  ck_assert_int_eq (am_ticket_open (&back, &scope, key, buf), AM_OK);
  ck_assert_uint_eq (back.serial, t.serial);
  ck_assert_uint_eq (back.issuer_boot_id, 99);
  for (size_t bit = 0; bit < 8 * AM_TICKET_SIZE; bit++)
    {
      buf[bit / 8] ^= (uint8_t)(1u << bit % 8);
      ck_assert_int_lt (am_ticket_open (&back, &scope, key, buf), 0);
      buf[bit / 8] ^= (uint8_t)(1u << bit % 8);
    }
  other = scope;
  other.caller_ip++;
  ck_assert_int_eq (am_ticket_open (&back, &other, key, buf), AM_E_AUTH);
  other = scope;
  other.service.port++;
  ck_assert_int_eq (am_ticket_open (&back, &other, key, buf), AM_E_AUTH);
  other = scope;
  other.connection_id++;
  ck_assert_int_eq (am_ticket_open (&back, &other, key, buf), AM_E_AUTH);
  key[0]++;
  ck_assert_int_eq (am_ticket_open (&back, &scope, key, buf), AM_E_AUTH);
}
END_TEST

/* Guards against forged or altered datagrams between forwarders.  */
START_TEST (test_peer_mac)
{
  struct am_peer_header h = { .type = AM_PEER_CREDIT,
                              .sender_id = 3,
                              .sender_boot_id = 4,
                              .service_id = 77 };
  struct am_peer_header back;
  uint8_t buf[AM_PEER_HEADER_SIZE + AM_PEER_BODY_MAX];
  uint8_t body[AM_PEER_BODY_MAX + 1] = { 1, 2, 3, 4, 5 };
  const uint8_t *got;
  size_t got_len;
  size_t len;

  ck_assert_int_eq (
      am_peer_encode (&h, fixture_peer_key, body, 5, buf, sizeof buf, &len),
      AM_OK);
  ck_assert_int_eq (
      am_peer_decode (&back, fixture_peer_key, buf, len, &got, &got_len),
      AM_OK);
  ck_assert_uint_eq (got_len, 5);
  ck_assert_mem_eq (got, body, 5);
  ck_assert_uint_eq (back.sender_boot_id, 4);
  for (size_t bit = 0; bit < 8 * len; bit++)
    {
      buf[bit / 8] ^= (uint8_t)(1u << bit % 8);
      ck_assert_int_lt (
          am_peer_decode (&back, fixture_peer_key, buf, len, &got, &got_len),
          0);
      buf[bit / 8] ^= (uint8_t)(1u << bit % 8);
    }
  for (size_t cut = 0; cut < len; cut++)
    ck_assert_int_lt (
        am_peer_decode (&back, fixture_peer_key, buf, cut, &got, &got_len), 0);
  ck_assert_int_eq (am_peer_encode (&h, fixture_peer_key, body, sizeof body,
                                    buf, sizeof buf, &len),
                    AM_E_TOO_LARGE);
}
END_TEST

RUN_TESTS ("wire", test_proxy_bytes, test_proxy_lengths,
           test_packet_round_trip, test_packet_bodies, test_stream_packet,
           test_request_age, test_ticket_mac, test_peer_mac)
