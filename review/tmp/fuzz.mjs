import * as path from 'node:path';
import process from 'node:process';
import * as net from 'node:net';
import { Deployment, ZONE_NAMES, sleep } from '../harness/deployment.mjs';
import { RunRecord } from '../harness/record.mjs';
import { HOST, Requester } from '../harness/requester.mjs';
import { Server, bodyOf } from '../harness/server.mjs';
const KEY='n2ctnfzs989anu6wsjnb';
const route=(name,prefix,kind,max,extra={})=>({ name, host: HOST, pathPrefix: prefix, kind, timeoutMs: 3000, sloMs: 193, priority: 1, service: 'yard-app', maxAttempts: max, public: false, ...extra });
const DESIRED={version:7,routes:[route('u','/u/','unsafe',2),route('s','/s/','safe',2),route('t','/t/','streaming',2,{resumable:true,gapTargetMs:250})],services:[{ name: 'yard-app', healthPath: '/health', maxConns: 49, protocol: 'h1', tls: false }],limits:{ maxHeaderBytes: 16384, maxBodyBytes: 4194304, headerTimeoutMs: 3000, idleTimeoutMs: 15000 },tenants:[{ name: 'hule930', apiKeys: [KEY], priority: 1 }]};
const rnd=(n)=>Math.floor(Math.random()*n);
class Fuzz extends Server {
  async next(channel){
    if(channel.isBusy) return;
    // early: answer when head is in
    const head=channel.buffer.indexOf('\r\n\r\n');
    if(head===-1) return;
    const p=Math.random();
    channel.isBusy=true;
    const text=channel.buffer.subarray(0,head).toString('latin1');
    const id=/x-celerydrift-request-id: (\S+)/i.exec(text)?.[1];
    const len=Number(/content-length: (\d+)/i.exec(text)?.[1]??0);
    const take=()=>{ channel.buffer=channel.buffer.subarray(head+4+len); };
    const w=(b)=>{ if(!channel.socket.destroyed) channel.socket.write(b); };
    if(id===undefined){ if(channel.buffer.length<head+4+len){channel.isBusy=false;return;} take(); const b=JSON.stringify({stage:'both',models:[],busy:false}); w(`HTTP/1.1 200 OK\r\nContent-Length: ${b.length}\r\n\r\n${b}`); channel.isBusy=false; return this.next(channel); }
    if(channel.buffer.length<head+4+len){ channel.isBusy=false; return; }
    take();
    const stream=/ \/t\//.test(text.split('\r\n')[0]);
    const lastId=Number(/last-event-id: (\d+)/i.exec(text)?.[1]??0);
    const h=`X-Celerydrift-Request-Id: ${id}\r\n`, st=`X-Celerydrift-Server-Stamp: ${this.id}.${id}\r\n`;
    const mode=p<0.5?'ok':['nr','half','rst','garbage','extra','extranow','1xx','chunkbad','101','huge','nolen','nolenrst','close','status','latin','empty','early500','enc','nostamp','foreign','s503','c100flood','mute','dupcl','304','chunkok','http10','trailer','nolenrst','nolenrst'][rnd(30)];
    this.modes??={}; this.modes[mode]=(this.modes[mode]??0)+1;
    const body=bodyOf(id);
    const ok=`HTTP/1.1 200 OK\r\n${h}${st}Content-Length: ${body.length}\r\n\r\n${body}`;
    if(!['nr'].includes(mode)) this.events({event:'ran',server:this.id,request:id,mode,lastId});
    await sleep(rnd(20));
    if(stream && ['ok','half','rst','extra','nolen','nolenrst','chunkbad'].includes(mode)){
      const chunked=mode!=='nolen'&&mode!=='nolenrst';
      w(`HTTP/1.1 200 OK\r\n${h}${st}Content-Type: text/event-stream\r\n${chunked?'Transfer-Encoding: chunked':'Connection: close'}\r\n\r\n`);
      const stop=mode==='ok'||mode==='nolen'||mode==='extra'?99:1+rnd(9);
      for(let i=lastId+1;i<=10;i++){
        const e=`id: ${i}\ndata: ${id} ${i}\n\n`;
        if(i>stop){ if(mode==='half'){ w(chunked?`${(e.length).toString(16)}\r\n${e.slice(0,5)}`:e.slice(0,5)); channel.socket.destroy(); return;} if(mode==='chunkbad'){w('zz\r\n');return;} channel.socket.resetAndDestroy(); return; }
        w(chunked?`${e.length.toString(16)}\r\n${e}\r\n`:e); await sleep(rnd(8));
      }
      if(chunked) w('0\r\n\r\n'); else { channel.socket.end(); return; }
      if(mode==='extra') w(ok);
      channel.isBusy=false; return this.next(channel);
    }
    switch(mode){
      case 'ok': w(ok); break;
      case 'nr': w(`HTTP/1.1 503 X\r\n${h}X-Celerydrift-Not-Run: 1\r\nContent-Length: 0\r\n\r\n`); break;
      case 'half': w(ok.slice(0,rnd(ok.length))); channel.socket.destroy(); return;
      case 'rst': channel.socket.resetAndDestroy(); return;
      case 'garbage': w(Buffer.from(Array.from({length:50+rnd(300)},()=>rnd(256)))); break;
      case 'extra': w(ok); { const s=channel.socket; sleep(rnd(30)).then(()=>{ if(!s.destroyed) s.write(ok); }); } break;
      case 'extranow': w(ok+ok+'junk'); break;
      case '1xx': w(`HTTP/1.1 103 Early\r\nLink: x\r\n\r\n${ok}`); break;
      case 'c100flood': w('HTTP/1.1 100 Continue\r\n\r\n'.repeat(3)+ok); break;
      case 'chunkbad': w(`HTTP/1.1 200 OK\r\n${h}${st}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nXX\r\n`); break;
      case 'chunkok': w(`HTTP/1.1 200 OK\r\n${h}${st}Transfer-Encoding: chunked\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\n\r\n`); break;
      case 'trailer': w(`HTTP/1.1 200 OK\r\n${h}${st}Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n${body.length.toString(16)}\r\n${body}\r\n0\r\nX-T: 1\r\n\r\n`); break;
      case '101': w(`HTTP/1.1 101 Switching Protocols\r\nUpgrade: foo\r\nConnection: upgrade\r\n${h}${st}\r\nabc`); break;
      case 'huge': w(`HTTP/1.1 200 OK\r\n${h}${st}X-Big: ${'a'.repeat(15000+rnd(4000))}\r\nContent-Length: ${body.length}\r\n\r\n${body}`); break;
      case 'nolen': w(`HTTP/1.1 200 OK\r\n${h}${st}\r\n${body}`); channel.socket.end(); return;
      case 'nolenrst': w(`HTTP/1.1 200 OK\r\n${h}${st}\r\n${body.slice(0,100)}`); await sleep(rnd(3)); channel.socket.resetAndDestroy(); return;
      case 'close': w(ok.replace('Content-Length',`Connection: close\r\nContent-Length`)); break;
      case 'status': w(ok.replace('200 OK',`${[199,299,399,499,599,600,999,'099','000'][rnd(9)]} X`)); break;
      case 'latin': w(Buffer.from(ok.replace('Content-Length',`X-L\u00e9: \u00e9\u0001\r\nX-M: \u00ff\r\nContent-Length`),'latin1')); break;
      case 'empty': channel.socket.end(); return;
      case 'early500': w(`HTTP/1.1 500 X\r\n${h}${st}Content-Length: 3\r\n\r\nerr`); break;
      case 'enc': w(ok.replace('Content-Length','Content-Encoding: gzip\r\nContent-Length')); break;
      case 'nostamp': w(ok.replace(st,'')); break;
      case 'foreign': w(ok.replaceAll(id,`zz${id.slice(2)}`)); break;
      case 's503': w(`HTTP/1.1 503 X\r\n${h}${st}Content-Length: 3\r\n\r\nerr`); break;
      case 'mute': return;
      case 'dupcl': w(ok.replace('Content-Length','Content-Length: 3\r\nContent-Length')); break;
      case '304': w(`HTTP/1.1 304 N\r\n${h}${st}Content-Length: 100\r\n\r\n`); break;
      case '204': w(`HTTP/1.1 204 N\r\n${h}${st}\r\n`); break;
      case 'http10': w(ok.replace('HTTP/1.1','HTTP/1.0')); break;
      case 'kill0': w(`HTTP/1.1 200 OK\r\n${h}${st}Content-Length: 0\r\n\r\n`); break;
    }
    channel.isBusy=false; return this.next(channel);
  }
}
const record=new RunRecord('/root/hunt/fuzz.txt');
const d=await Deployment.create({keepers:3,entries:2});
const servers=ZONE_NAMES.map((zone,i)=>new Fuzz(d,{id:`i-f${i}`,service:'yard-app',zone,events:record.add}));
await d.start(DESIRED); await Promise.all(servers.map(s=>s.start())); await sleep(2000);
const pids=d.entries.map(e=>e.child.pid);
const q=new Requester(d,{key:KEY,events:record.add});
const all=[]; const kinds=new Map();
const until=Date.now()+Number(process.argv[2]??20)*1000;
let n=0;
while(Date.now()<until){
  for(let i=0;i<6;i++){ const k=['u','s','t'][rnd(3)]; const p=q.send(d.entries[rnd(2)],{path:`/${k}/x`,method:k==='s'?'GET':'POST',patienceMs:2000,body:'x'.repeat(rnd(3)?600:100000)}).then(r=>({...r,k})); all.push(p); n++; }
  await sleep(20);
}
const res=await Promise.all(all); await sleep(500);
console.log('entry pids same:', d.entries.every((e,i)=>e.child?.pid===pids[i]), 'alive', d.entries.map(e=>e.child?.pid));
const runs=record.runsByRequest(); const st={}; let bad=[];
for(const r of res){ const key=r.k+r.status; st[key]=(st[key]??0)+1;
  const rn=runs.get(r.id)?.length??0;
  if(r.k==='u'&&rn>1) bad.push(['TWICE',r.id,rn,r.status]);
  if(r.k==='u'&&rn>0&&[408,421,429,503].includes(r.status)) bad.push(['REFUSED',r.id,rn,r.status]);
  if(r.status>=200&&r.status<300&&r.k!=='t'&&r.body!==bodyOf(r.id)) bad.push(['MIXED',r.id,(runs.get(r.id)??[]).map(x=>x.mode).join(','),r.status,r.body.slice(0,60),r.stamp]);
  if(r.status===200&&r.k==='t'){ const want=Array.from({length:10},(_,i)=>`id: ${i+1}\ndata: ${r.id} ${i+1}\n\n`).join(''); if(r.body!==want) bad.push(['ORDER',r.id,(runs.get(r.id)??[]).map(x=>x.mode+'@'+x.lastId).join(','),r.body.length,JSON.stringify(r.body.slice(-60)),r.body.slice(0,30)]); }
}
console.log(n,st); console.log(servers.map(s=>JSON.stringify(s.modes)).join('\n'));
const by={}; bad.forEach(b=>{by[b[0]]=(by[b[0]]??0)+1;}); console.log(by); bad.filter(b=>b[0]!=='REFUSED'||0).slice(0,40).forEach(b=>console.log(b.join(' | ')));
record.write([]); await d.stop(); process.exit(0);
